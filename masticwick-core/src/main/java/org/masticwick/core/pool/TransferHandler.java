package org.masticwick.core.pool;

import java.util.Optional;

/**
 * Hands the endpoints and the unanswered jobs of a pool over to its next owner, and
 * continues those of a previous owner.
 */
final class TransferHandler {

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final JobFactory jobFactory;

	private final TaskStarter starter;

	private final CrashLoopGuard crashLoopGuard;

	private final PoolActions actions;

	TransferHandler(EndpointTable endpoints, JobTable jobs, JobFactory jobFactory, TaskStarter starter,
			CrashLoopGuard crashLoopGuard, PoolActions actions) {
		this.actions = actions;
		this.endpoints = endpoints;
		this.jobs = jobs;
		this.jobFactory = jobFactory;
		this.starter = starter;
		this.crashLoopGuard = crashLoopGuard;
	}

	/**
	 * Returns the state that the next owner needs to continue.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the endpoints and the unanswered jobs that are not durable
	 */
	PoolTransfer transfer(long nowMillis) {
		return new PoolTransfer(this.endpoints.transfer(),
				this.jobs.interactiveJobs().stream().map((job) -> this.jobs.transfer(job, nowMillis)).toList(),
				this.crashLoopGuard.history().all());
	}

	/**
	 * Continues the jobs of a previous owner. Their endpoints must be listed already. A
	 * job that was submitted here again joins its runs, unless it has started here.
	 * @param transfer the state that the previous owner handed over
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void adopt(PoolTransfer transfer, long nowMillis) {
		transfer.losses().forEach((loss) -> this.crashLoopGuard.history().add(loss, nowMillis));
		transfer.jobs().forEach((job) -> adoptOrJoin(job, nowMillis));
	}

	private void adoptOrJoin(JobTransfer transfer, long nowMillis) {
		Optional<PooledJob> copy = this.jobs.findUnanswered(transfer.spec().jobId());
		PooledJob job = create(transfer, nowMillis);
		if (copy.filter(PooledJob::isStarted).isPresent()) {
			this.actions.answer(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "submitted-again"));
			return;
		}
		copy.ifPresent(this.jobs::withdraw);
		adopt(job, transfer, nowMillis);
		copy.ifPresent((withdrawn) -> join(withdrawn, job));
	}

	private void join(PooledJob copy, PooledJob job) {
		if (job.isFinished()) {
			this.actions.answer(copy, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-unknown"));
		}
		else {
			this.jobs.replaceOrigin(job, copy.origin());
		}
	}

	private PooledJob create(JobTransfer transfer, long nowMillis) {
		PooledJob job = this.jobFactory.create(transfer.spec(), transfer.terms(), transfer.origin(),
				nowMillis - transfer.ageMillis());
		job.markHandedOver();
		return job;
	}

	private void adopt(PooledJob job, JobTransfer transfer, long nowMillis) {
		this.jobs.add(job);
		this.crashLoopGuard.watch(job, nowMillis);
		transfer.tasks()
			.forEach((taskTransfer) -> job.task(taskTransfer.task())
				.ifPresent((task) -> adopt(job, task, taskTransfer, nowMillis)));
		if (transfer.tasks().stream().anyMatch(this::isOnUnknownEndpoint)) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-unknown"), nowMillis);
			return;
		}
		if (!this.jobs.waitsForRuns(job)) {
			this.jobs.enqueueReady(job, nowMillis);
		}
		else if (job.isStarted()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "previous-runs"), nowMillis);
		}
		else {
			this.jobs.enqueue(job, nowMillis);
		}
	}

	private boolean isOnUnknownEndpoint(TaskTransfer task) {
		return !task.endpointId().isEmpty() && this.endpoints.find(task.endpointId()).isEmpty();
	}

	private void adopt(PooledJob job, PooledTask task, TaskTransfer taskTransfer, long nowMillis) {
		task.adopt(taskTransfer);
		if (taskTransfer.runCount() > 0) {
			job.markStarted();
		}
		Optional<PooledEndpoint> endpoint = this.endpoints.find(taskTransfer.endpointId());
		if (taskTransfer.done()) {
			job.readyTasks().remove(task);
			job.taskDone(task);
		}
		else if (endpoint.isPresent()) {
			job.readyTasks().remove(task);
			long startRequestedMillis = nowMillis - taskTransfer.sinceStartRequestedMillis();
			Placement placement = this.starter.place(task, task.currentRun(), endpoint.get(), startRequestedMillis);
			if (taskTransfer.accepted()) {
				placement.accept(startRequestedMillis);
			}
		}
	}

}
