package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.SchedulingDecisions;
import org.masticwick.core.request.StartCommand;

/**
 * Decides what starts in one turn, what is dropped and when to look again.
 */
final class TurnPlanner {

	private static final double LOOK_AGAIN_DIVISOR = 16;

	private static final double MIN_LOOK_AGAIN_NANOS = Times.NANOS_PER_MILLI;

	private static final double MAX_LOOK_AGAIN_NANOS = 20 * Times.NANOS_PER_MILLI;

	private final SchedulerState state;

	private final EjectionControl ejection;

	private int firstService;

	/**
	 * Creates a planner.
	 * @param state the state
	 * @param ejection the judge of endpoints
	 */
	TurnPlanner(SchedulerState state, EjectionControl ejection) {
		this.state = state;
		this.ejection = ejection;
	}

	/**
	 * Decides on one turn.
	 * @param nowNanos the time
	 * @return the decision
	 */
	SchedulingDecisions next(long nowNanos) {
		dropExpired(nowNanos);
		List<StartCommand> starts = new ArrayList<>();
		waitingServices().forEach((service) -> {
			this.ejection.ejectStalled(service, nowNanos);
			new StartPlanner(this.state, service, nowNanos, starts).plan();
		});
		return new SchedulingDecisions(starts, this.state.takeDropped(), nextWakeNanos(starts.size(), nowNanos));
	}

	private void dropExpired(long nowNanos) {
		while (!this.state.jobsByDeadline().isEmpty()) {
			JobEntry job = this.state.jobsByDeadline().first();
			if (job.deadlineNanos() > nowNanos) {
				return;
			}
			ServiceState service = this.state.services().get(job.request().service());
			double drainNanos = this.state.waitNanos(service, service.queue().queuedCount(), nowNanos);
			this.state.drop(job, ErrorCode.DEADLINE_PASSED, Times.retryAfterMillis(drainNanos, this.state.random()));
		}
	}

	private List<ServiceState> waitingServices() {
		List<ServiceState> waiting = this.state.services()
			.values()
			.stream()
			.filter((service) -> !service.queue().isEmpty())
			.toList();
		if (waiting.size() < 2) {
			return waiting;
		}
		this.firstService = (this.firstService + 1) % waiting.size();
		return Stream
			.concat(waiting.subList(this.firstService, waiting.size()).stream(),
					waiting.subList(0, this.firstService).stream())
			.toList();
	}

	private long nextWakeNanos(int startCount, long nowNanos) {
		if (this.state.jobsByDeadline().isEmpty()) {
			return SchedulingDecisions.NEVER;
		}
		if (startCount >= this.state.settings().maxStartsPerPassCount()) {
			return nowNanos;
		}
		long deadlineNanos = this.state.jobsByDeadline().first().deadlineNanos();
		double lookAgainNanos = this.state.services()
			.values()
			.stream()
			.filter((service) -> !service.queue().isEmpty())
			.mapToDouble((service) -> service.runTimes().meanNanos() / LOOK_AGAIN_DIVISOR)
			.min()
			.orElse(MAX_LOOK_AGAIN_NANOS);
		double boundedNanos = Math.max(MIN_LOOK_AGAIN_NANOS, Math.min(MAX_LOOK_AGAIN_NANOS, lookAgainNanos));
		return Math.min(deadlineNanos, nowNanos + (long) boundedNanos);
	}

}
