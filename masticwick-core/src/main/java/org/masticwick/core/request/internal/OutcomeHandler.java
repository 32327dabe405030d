package org.masticwick.core.request.internal;

import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.Disposition;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;

/**
 * Processes the outcomes of starts and decides on retries. Only tasks that were certainly
 * not started are retried, so that no task runs twice.
 */
final class OutcomeHandler {

	private final SchedulerState state;

	private final EjectionControl ejection;

	/**
	 * Creates a handler.
	 * @param state the shared state of the scheduler
	 * @param ejection the control that ejects endpoints
	 */
	OutcomeHandler(SchedulerState state, EjectionControl ejection) {
		this.state = state;
		this.ejection = ejection;
	}

	/**
	 * Processes the outcome of a start.
	 * @param id the id of the task
	 * @param outcome the outcome of its start
	 * @param nowNanos the current time
	 * @return what happens to the task; {@link Disposition.Done} if it is not outstanding
	 */
	Disposition handle(TaskId id, StartOutcome outcome, long nowNanos) {
		RunningTask task = this.state.running().remove(id);
		if (task == null) {
			return new Disposition.Done();
		}
		release(task, outcome, nowNanos);
		ServiceState service = task.service();
		service.addRunning(-1);
		updateEstimates(service, task, outcome, nowNanos);
		Disposition disposition = outcome.kind().notStarted() ? retry(service, task, outcome.kind(), nowNanos)
				: new Disposition.Done();
		this.state.removeIfFinished(task.job());
		return disposition;
	}

	private void release(RunningTask task, StartOutcome outcome, long nowNanos) {
		JobEntry job = task.job();
		EndpointView endpoint = task.endpoint();
		endpoint.removeRunning(task);
		job.decrementRunning();
		double usedNanos = outcome.kind().notStarted() ? 0 : (nowNanos - task.startNanos());
		this.state.teams().settleStart(job.account(), task.expectedNanos(), usedNanos);
		boolean declared = this.state.version().endpoints().containsKey(endpoint.address());
		if (!declared && endpoint.outstandingCount() == 0) {
			this.state.endpoints().remove(endpoint.address(), endpoint);
		}
	}

	private void updateEstimates(ServiceState service, RunningTask task, StartOutcome outcome, long nowNanos) {
		EndpointView endpoint = task.endpoint();
		boolean wasLive = endpoint.live();
		countRefusal(outcome.kind());
		if (outcome.busySlotCount() >= 0) {
			int peerTaskCount = Math.max(0, outcome.busySlotCount() - endpoint.outstandingCount());
			endpoint.peerLoad().recordObservation(peerTaskCount, nowNanos, service.runTimes().meanNanos());
		}
		if (outcome.kind().notStarted()) {
			service.retryBudget().recordRefusal(nowNanos);
			endpoint.recordRefusal(outcome.kind(), service.runTimes().meanNanos(), nowNanos);
		}
		this.ejection.recordOutcome(service, task, outcome, nowNanos);
		if (outcome.kind() == StartOutcome.Kind.SUCCEEDED) {
			long runTimeNanos = (outcome.runTimeNanos() > 0) ? outcome.runTimeNanos() : (nowNanos - task.startNanos());
			endpoint.recordSuccess(runTimeNanos, nowNanos);
			endpoint.backoff().recordAcceptance();
			service.runTimes().addSample(task.spec().kind(), runTimeNanos);
		}
		if (wasLive != endpoint.live()) {
			this.state.assignOwners();
		}
	}

	private Disposition retry(ServiceState service, RunningTask task, StartOutcome.Kind kind, long nowNanos) {
		JobEntry job = task.job();
		if (job.closed()) {
			return new Disposition.Abandoned(ErrorCode.CANCELLED_NOT_RUN, 0);
		}
		if (this.state.services().get(service.spec().name()) != service) {
			return abandon(job, ErrorCode.UNKNOWN_SERVICE, 0);
		}
		if (nowNanos >= job.deadlineNanos()) {
			return abandon(job, ErrorCode.DEADLINE_PASSED, 0);
		}
		if (kind == StartOutcome.Kind.REFUSED_NEVER_FITS) {
			job.unfitEndpoints().add(task.endpoint().address());
			if (fitsNoEndpoint(service, task)) {
				return abandon(job, ErrorCode.NEVER_FITS, 0);
			}
		}
		if (kind != StartOutcome.Kind.REFUSED_FULL
				&& job.countRefusal(task.id().index()) >= this.state.settings().maxAttemptCount()) {
			return abandon(job, ErrorCode.NO_ENDPOINT,
					TimeMath.retryAfterMillis(TimeMath.NANOS_PER_SECOND, this.state.random()));
		}
		if (job.allQueuedExcept(1) && this.state.requiresDrainedEndpoint(service, job)) {
			return abandon(job, ErrorCode.NO_ENDPOINT,
					TimeMath.retryAfterMillis(TimeMath.NANOS_PER_SECOND, this.state.random()));
		}
		requeue(service, job, task.id().index(), nowNanos);
		return new Disposition.Requeued();
	}

	private void requeue(ServiceState service, JobEntry job, int index, long nowNanos) {
		if (job.queue() != null) {
			service.queue().remove(job);
		}
		job.requeue(index);
		service.queue().add(job, this.state.usableSlotCount(service, nowNanos));
		this.state.jobsByDeadline().add(job);
	}

	private Disposition abandon(JobEntry job, ErrorCode code, long retryAfterMillis) {
		this.state.increment(Counter.GIVEN_UP_TASKS, 1);
		this.state.dropJob(job, code, retryAfterMillis);
		return new Disposition.Abandoned(code, retryAfterMillis);
	}

	private boolean fitsNoEndpoint(ServiceState service, RunningTask task) {
		return Stream.concat(service.localEndpoints().stream(), service.remoteEndpoints().stream())
			.noneMatch((endpoint) -> endpoint.fits(task.spec())
					&& !task.job().unfitEndpoints().contains(endpoint.address()));
	}

	private void countRefusal(StartOutcome.Kind kind) {
		switch (kind) {
			case REFUSED_FULL -> this.state.increment(Counter.REFUSED_FULL, 1);
			case REFUSED_LEAVING, REFUSED_NEVER_FITS -> this.state.increment(Counter.REFUSED_OTHER, 1);
			case NOT_CONNECTED -> this.state.increment(Counter.NOT_CONNECTED, 1);
			default -> {
			}
		}
	}

}
