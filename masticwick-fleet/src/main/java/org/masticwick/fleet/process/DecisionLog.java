package org.masticwick.fleet.process;

import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.LostRun;
import org.masticwick.core.pool.PooledJob;
import org.masticwick.core.pool.RestartVerdict;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskLoss;

/**
 * Logs and counts the decisions of the scheduler of a pool that send no command to an
 * endpoint.
 */
final class DecisionLog {

	/** The logger name is a field of the log lines, which keep that of their owner. */
	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	private final FleetMetrics metrics;

	DecisionLog(FleetMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Logs the answer to a job.
	 * @param job the job
	 * @param outcome the answer
	 * @param pools the names of the pools of the owner
	 */
	void answered(PooledJob job, JobOutcome outcome, Set<String> pools) {
		if (outcome.kind() == JobOutcome.Kind.REFUSED) {
			this.metrics.jobRefused(outcome, job.terms().priority());
		}
		logger.atInfo()
			.addKeyValue("job", job.spec().jobId())
			.addKeyValue("queue", job.terms().queue())
			.addKeyValue("priority", job.terms().priority())
			.addKeyValue("version", job.terms().versionNumber())
			.addKeyValue("pools", pools)
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("took_ms", Clock.nowMillis() - job.arrivedMillis())
			.addKeyValue("expected_ms", Math.round(job.expectedMillis()))
			.addKeyValue("retry_after_ms", outcome.retryAfterMillis())
			.log("Pool answered a job");
	}

	/**
	 * Logs that the tasks of a job wait for the runs of a previous owner.
	 * @param job the job
	 * @param reason whether such a run is listed, or which are is not known yet
	 */
	void jobHeld(PooledJob job, String reason) {
		logger.atInfo()
			.addKeyValue("job", job.spec().jobId())
			.addKeyValue("queue", job.terms().queue())
			.addKeyValue("waited_ms", job.terms().waitedMillis())
			.addKeyValue("reason", reason)
			.log("Job waits, as a run of the previous owner may go on");
	}

	/**
	 * Logs a run that was lost together with its endpoint.
	 * @param lostRun the run
	 */
	void runLost(LostRun lostRun) {
		this.metrics.runLost(lostRun.cause());
		logger.atInfo()
			.addKeyValue("job", lostRun.run().task().jobId())
			.addKeyValue("task", lostRun.run())
			.addKeyValue("endpoint", lostRun.endpoint().id())
			.addKeyValue("cause", lostRun.cause())
			.addKeyValue("after_ms", lostRun.runMillis())
			.addKeyValue("other_runs", lostRun.otherRunCount())
			.log("Run lost together with its endpoint");
	}

	/**
	 * Logs that an endpoint has started again.
	 * @param endpoint the endpoint
	 * @param startedEpochMillis the start time of its new incarnation, in milliseconds
	 * since 1970
	 */
	void endpointRestarted(EndpointEntry endpoint, long startedEpochMillis) {
		this.metrics.endpointRestarted();
		logger.atInfo()
			.addKeyValue("pool", endpoint.domain())
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("started_epoch_ms", startedEpochMillis)
			.log("Endpoint restarted; all its runs are lost");
	}

	/**
	 * Logs a loss of an endpoint under a task, or what has become known of it.
	 * @param loss the loss
	 */
	void taskLossChanged(TaskLoss loss) {
		logger.atInfo()
			.addKeyValue("job", loss.run().task().jobId())
			.addKeyValue("task", loss.run())
			.addKeyValue("endpoint", loss.endpoint().endpointId())
			.addKeyValue("address", loss.endpoint().address())
			.addKeyValue("state", loss.state())
			.addKeyValue("attributable", loss.attributable())
			.log("Loss of an endpoint counted against a task");
	}

	/**
	 * Logs whether a task under which endpoints were lost is started again.
	 * @param task the task
	 * @param verdict the decision
	 * @param crashCount how many endpoints have crashed under the task
	 * @param unexplainedCount how many more were lost and not heard since
	 */
	void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount) {
		this.metrics.restartDecided(verdict);
		logger.atInfo()
			.addKeyValue("job", task.jobId())
			.addKeyValue("task", task)
			.addKeyValue("verdict", verdict)
			.addKeyValue("crashes", crashCount)
			.addKeyValue("unexplained", unexplainedCount)
			.log("Restart of a task decided after endpoints were lost under it");
	}

}
