package org.masticwick.core.request.internal;

import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.Disposition;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;

/**
 * Takes in what came of starts and decides on retries. Only what certainly was not
 * started is tried again.
 */
final class EndHandler {

	private final SchedulerState state;

	private final EjectionControl ejection;

	/**
	 * Creates a handler.
	 * @param state the state
	 * @param ejection the judge of endpoints
	 */
	EndHandler(SchedulerState state, EjectionControl ejection) {
		this.state = state;
		this.ejection = ejection;
	}

	/**
	 * Takes in what came of a start.
	 * @param id the task
	 * @param end what came of it
	 * @param nowNanos the time
	 * @return what becomes of the task
	 */
	Disposition ended(TaskId id, StartOutcome end, long nowNanos) {
		RunningTask task = this.state.running().remove(id);
		if (task == null) {
			return new Disposition.Done();
		}
		release(task, end, nowNanos);
		ServiceState service = task.service();
		service.addRunning(-1);
		learn(service, task, end, nowNanos);
		Disposition disposition = end.kind().notStarted() ? retry(service, task, end.kind(), nowNanos)
				: new Disposition.Done();
		this.state.forgetIfOver(task.job());
		return disposition;
	}

	private void release(RunningTask task, StartOutcome end, long nowNanos) {
		JobEntry job = task.job();
		EndpointView endpoint = task.endpoint();
		endpoint.ended(task);
		job.ended();
		double usedNanos = end.kind().notStarted() ? 0 : (nowNanos - task.startNanos());
		this.state.teams().ended(job.account(), task.expectedNanos(), usedNanos);
		boolean known = this.state.version().endpoints().containsKey(endpoint.address());
		if (!known && endpoint.outstandingCount() == 0) {
			this.state.endpoints().remove(endpoint.address(), endpoint);
		}
	}

	private void learn(ServiceState service, RunningTask task, StartOutcome end, long nowNanos) {
		EndpointView endpoint = task.endpoint();
		boolean wasLive = endpoint.live();
		countRefusal(end.kind());
		if (end.busySlotCount() >= 0) {
			int foreignCount = Math.max(0, end.busySlotCount() - endpoint.outstandingCount());
			endpoint.foreign().observe(foreignCount, nowNanos, service.runTimes().meanNanos());
		}
		if (end.kind().notStarted()) {
			service.retryBudget().refused(nowNanos);
			endpoint.refused(end.kind(), service.runTimes().meanNanos(), nowNanos);
		}
		this.ejection.ended(service, task, end, nowNanos);
		if (end.kind() == StartOutcome.Kind.SUCCEEDED) {
			long runTimeNanos = (end.runTimeNanos() > 0) ? end.runTimeNanos() : (nowNanos - task.startNanos());
			endpoint.succeeded(runTimeNanos, nowNanos);
			endpoint.backoff().accepted();
			service.runTimes().add(task.spec().kind(), runTimeNanos);
		}
		if (wasLive != endpoint.live()) {
			this.state.divide();
		}
	}

	private Disposition retry(ServiceState service, RunningTask task, StartOutcome.Kind kind, long nowNanos) {
		JobEntry job = task.job();
		if (job.closed()) {
			return new Disposition.Abandoned(ErrorCode.CANCELLED_NOT_RUN, 0);
		}
		if (this.state.services().get(service.spec().name()) != service) {
			return giveUp(job, ErrorCode.UNKNOWN_SERVICE, 0);
		}
		if (nowNanos >= job.deadlineNanos()) {
			return giveUp(job, ErrorCode.DEADLINE_PASSED, 0);
		}
		if (kind == StartOutcome.Kind.REFUSED_NEVER_FITS) {
			job.unfitEndpoints().add(task.endpoint().address());
			if (nowhereFits(service, task)) {
				return giveUp(job, ErrorCode.NEVER_FITS, 0);
			}
		}
		if (kind != StartOutcome.Kind.REFUSED_FULL
				&& job.countRefusal(task.id().index()) >= this.state.settings().maxAttemptCount()) {
			return giveUp(job, ErrorCode.NO_ENDPOINT,
					Times.retryAfterMillis(Times.NANOS_PER_SECOND, this.state.random()));
		}
		requeue(service, job, task.id().index(), nowNanos);
		return new Disposition.Requeued();
	}

	private void requeue(ServiceState service, JobEntry job, int index, long nowNanos) {
		if (job.queue() != null) {
			service.queue().remove(job);
		}
		job.requeue(index);
		service.queue().add(job, this.state.slotCount(service, nowNanos));
		this.state.jobsByDeadline().add(job);
	}

	private Disposition giveUp(JobEntry job, ErrorCode code, long retryAfterMillis) {
		this.state.count(Counter.GIVEN_UP_TASKS, 1);
		this.state.drop(job, code, retryAfterMillis);
		return new Disposition.Abandoned(code, retryAfterMillis);
	}

	private boolean nowhereFits(ServiceState service, RunningTask task) {
		return Stream.concat(service.local().stream(), service.remote().stream())
			.noneMatch((endpoint) -> endpoint.fits(task.spec())
					&& !task.job().unfitEndpoints().contains(endpoint.address()));
	}

	private void countRefusal(StartOutcome.Kind kind) {
		switch (kind) {
			case REFUSED_FULL -> this.state.count(Counter.REFUSED_FULL, 1);
			case REFUSED_LEAVING, REFUSED_NEVER_FITS -> this.state.count(Counter.REFUSED_OTHER, 1);
			case NOT_CONNECTED -> this.state.count(Counter.NOT_CONNECTED, 1);
			default -> {
			}
		}
	}

}
