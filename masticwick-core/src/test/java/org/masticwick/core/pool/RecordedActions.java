package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the decisions of a scheduler for assertions.
 */
final class RecordedActions implements PoolActions {

	private final List<Start> starts = new ArrayList<>();

	private final List<TaskRun> stops = new ArrayList<>();

	private final List<Answer> answers = new ArrayList<>();

	private final List<TerminationId> orphanedTerminations = new ArrayList<>();

	private final List<DurableTermination> durableTerminations = new ArrayList<>();

	private final List<AnsweredJob> answeredJobs = new ArrayList<>();

	private final List<TaskLoss> taskLosses = new ArrayList<>();

	private final List<RestartVerdict> verdicts = new ArrayList<>();

	private final List<LostRun> lostRuns = new ArrayList<>();

	private final List<String> heldJobs = new ArrayList<>();

	private final List<String> restartedEndpoints = new ArrayList<>();

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
		this.answeredJobs.add(new AnsweredJob(job, outcome));
	}

	@Override
	public void durableRunTerminated(String jobId, TerminationId termination) {
		this.durableTerminations.add(new DurableTermination(jobId, termination));
	}

	@Override
	public void orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun) {
		this.orphanedTerminations.add(termination);
	}

	@Override
	public void runLost(LostRun lostRun) {
		this.lostRuns.add(lostRun);
	}

	@Override
	public void endpointRestarted(EndpointEntry endpoint, long startedEpochMillis) {
		this.restartedEndpoints.add(endpoint.id());
	}

	@Override
	public void taskLossChanged(TaskLoss loss) {
		this.taskLosses.add(loss);
	}

	@Override
	public void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount) {
		this.verdicts.add(verdict);
	}

	@Override
	public void jobHeld(PooledJob job, String reason) {
		this.heldJobs.add(job.spec().jobId() + " " + reason);
	}

	List<String> heldJobs() {
		return this.heldJobs;
	}

	List<TaskLoss> taskLosses() {
		return this.taskLosses;
	}

	List<RestartVerdict> verdicts() {
		return this.verdicts;
	}

	List<LostRun> lostRuns() {
		return this.lostRuns;
	}

	List<String> restartedEndpoints() {
		return this.restartedEndpoints;
	}

	List<TerminationId> orphanedTerminations() {
		return this.orphanedTerminations;
	}

	List<DurableTermination> durableTerminations() {
		return this.durableTerminations;
	}

	List<AnsweredJob> answeredJobs() {
		return this.answeredJobs;
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

	record DurableTermination(String jobId, TerminationId termination) {
	}

	record AnsweredJob(PooledJob job, JobOutcome outcome) {
	}

	record Answer(String jobId, JobOrigin origin, JobOutcome outcome) {
	}

}
