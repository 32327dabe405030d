package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Records what a scheduler decides.
 */
final class RecordedActions implements PoolActions {

	private final List<Start> starts = new ArrayList<>();

	private final List<TaskRun> stops = new ArrayList<>();

	private final List<Answer> answers = new ArrayList<>();

	private final List<TerminationId> strayEnds = new ArrayList<>();

	private final List<EndedRun> endedJobs = new ArrayList<>();

	private final List<AnsweredJob> answered = new ArrayList<>();

	@Override
	public void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint) {
		this.starts.add(new Start(endpoint.id(), run, checkpoint));
	}

	@Override
	public void stop(EndpointEntry endpoint, TaskRun run, String reason) {
		this.stops.add(run);
	}

	@Override
	public void answer(PooledJob job, JobOutcome outcome) {
		this.answers.add(new Answer(job.spec().jobId(), job.origin(), outcome));
		this.answered.add(new AnsweredJob(job, outcome));
	}

	@Override
	public void durableRunTerminated(PooledJob job, TerminationId end) {
		this.endedJobs.add(new EndedRun(job, end));
	}

	@Override
	public void orphanedRunTerminated(TerminationId end, TerminatedRun ended) {
		this.strayEnds.add(end);
	}

	List<TerminationId> strayEnds() {
		return this.strayEnds;
	}

	List<EndedRun> endedJobs() {
		return this.endedJobs;
	}

	List<AnsweredJob> answered() {
		return this.answered;
	}

	List<Start> starts() {
		return this.starts;
	}

	List<TaskRun> stops() {
		return this.stops;
	}

	List<Answer> answers() {
		return this.answers;
	}

	record Start(String endpointId, TaskRun run, String checkpoint) {
	}

	record EndedRun(PooledJob job, TerminationId end) {
	}

	record AnsweredJob(PooledJob job, JobOutcome outcome) {
	}

	record Answer(String jobId, JobOrigin origin, JobOutcome outcome) {
	}

}
