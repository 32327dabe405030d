package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.SchedulingDecisions;
import org.masticwick.core.request.StartCommand;

/**
 * Runs scheduling passes: drops jobs past their deadline, plans the starts of all
 * services and determines the time of the next pass.
 */
final class PassPlanner {

	private static final double PASS_INTERVAL_DIVISOR = 16;

	private static final double MIN_PASS_INTERVAL_NANOS = TimeMath.NANOS_PER_MILLI;

	private static final double MAX_PASS_INTERVAL_NANOS = 20 * TimeMath.NANOS_PER_MILLI;

	private final SchedulerState state;

	private final EjectionControl ejection;

	private int firstServiceIndex;

	/**
	 * Creates a planner.
	 * @param state the shared state of the scheduler
	 * @param ejection the control that ejects endpoints
	 */
	PassPlanner(SchedulerState state, EjectionControl ejection) {
		this.state = state;
		this.ejection = ejection;
	}

	/**
	 * Runs one scheduling pass.
	 * @param nowNanos the current time
	 * @return the decisions
	 */
	SchedulingDecisions plan(long nowNanos) {
		dropExpiredJobs(nowNanos);
		List<StartCommand> starts = new ArrayList<>();
		servicesWithQueuedTasks().forEach((service) -> {
			this.ejection.ejectStalledEndpoints(service, nowNanos);
			new ServiceStartPlanner(this.state, service, nowNanos, starts).plan();
		});
		return new SchedulingDecisions(starts, this.state.drainDroppedTasks(), nextPassNanos(starts.size(), nowNanos));
	}

	private void dropExpiredJobs(long nowNanos) {
		while (!this.state.jobsByDeadline().isEmpty()) {
			JobEntry job = this.state.jobsByDeadline().first();
			if (job.deadlineNanos() > nowNanos) {
				return;
			}
			ServiceState service = this.state.services().get(job.request().service());
			double drainNanos = this.state.expectedWaitNanos(service, service.queue().queuedCount(), nowNanos);
			this.state.dropJob(job, ErrorCode.DEADLINE_PASSED,
					TimeMath.retryAfterMillis(drainNanos, this.state.random()));
		}
	}

	private List<ServiceState> servicesWithQueuedTasks() {
		List<ServiceState> services = this.state.services()
			.values()
			.stream()
			.filter((service) -> !service.queue().isEmpty())
			.toList();
		if (services.size() < 2) {
			return services;
		}
		this.firstServiceIndex = (this.firstServiceIndex + 1) % services.size();
		return Stream
			.concat(services.subList(this.firstServiceIndex, services.size()).stream(),
					services.subList(0, this.firstServiceIndex).stream())
			.toList();
	}

	private long nextPassNanos(int startCount, long nowNanos) {
		if (this.state.jobsByDeadline().isEmpty()) {
			return SchedulingDecisions.NEVER;
		}
		if (startCount >= this.state.settings().maxStartsPerPassCount()) {
			return nowNanos;
		}
		long deadlineNanos = this.state.jobsByDeadline().first().deadlineNanos();
		double intervalNanos = this.state.services()
			.values()
			.stream()
			.filter((service) -> !service.queue().isEmpty())
			.mapToDouble((service) -> service.runTimes().meanNanos() / PASS_INTERVAL_DIVISOR)
			.min()
			.orElse(MAX_PASS_INTERVAL_NANOS);
		double boundedIntervalNanos = Math.max(MIN_PASS_INTERVAL_NANOS,
				Math.min(MAX_PASS_INTERVAL_NANOS, intervalNanos));
		return Math.min(deadlineNanos, nowNanos + (long) boundedIntervalNanos);
	}

}
