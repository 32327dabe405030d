package org.masticwick.fleet.process;

import java.util.Optional;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * Requests endpoints to start and stop tasks, and reports their answers to the scheduler.
 * Must be called on the event loop.
 */
final class EndpointCommands {

	/** The logger name is a field of the log lines, which keep that of their owner. */
	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	private final EndpointCalls calls;

	private final OwnedPools pools;

	private final LeaseRenewals leases;

	private final FleetMetrics metrics;

	private final PoolScheduler scheduler;

	EndpointCommands(EndpointCalls calls, OwnedPools pools, LeaseRenewals leases, FleetMetrics metrics,
			PoolScheduler scheduler) {
		this.calls = calls;
		this.pools = pools;
		this.leases = leases;
		this.metrics = metrics;
		this.scheduler = scheduler;
	}

	/**
	 * Requests an endpoint to start a task, which renews the lease of the endpoint.
	 * @param endpoint the endpoint, which has a lease
	 * @param run the run
	 * @param payload the payload of the task
	 * @param checkpoint the checkpoint to resume from, or an empty string
	 */
	void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint) {
		EndpointLease lease = this.leases.find(endpoint.id());
		long nowMillis = Clock.nowMillis();
		OptionalLong leaseEndMillis = lease.renew(nowMillis);
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("token", this.pools.token(endpoint.domain()))
			.log("Requesting an endpoint to start a task");
		this.metrics.startOrdered();
		long token = this.leases.commandToken(endpoint);
		this.calls.start(endpoint, run, payload, checkpoint, token, leaseEndMillis.orElse(0))
			.whenComplete((refusal, error) -> handleStartAnswer(lease, run, token, refusal, error));
	}

	private void handleStartAnswer(EndpointLease lease, TaskRun run, long token, Optional<StartRefusal> refusal,
			Throwable error) {
		if (this.pools.isFrozen()) {
			return;
		}
		String endpointId = lease.entry().id();
		long nowMillis = Clock.nowMillis();
		if (error != null) {
			handleStartFailure(endpointId, run, CallException.from(error), nowMillis);
		}
		else if (refusal.isEmpty()) {
			this.scheduler.startAccepted(endpointId, run, nowMillis);
		}
		else {
			handleStartRefusal(lease, run, token, refusal.get(), nowMillis);
		}
	}

	private void handleStartFailure(String endpointId, TaskRun run, CallException error, long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpointId)
			.addKeyValue("reason", error.code())
			.log("Start request failed without an answer of the endpoint");
		if (error.code() == CallException.Code.NOT_SENT) {
			this.scheduler.startRefused(endpointId, run, StartRefusal.NOT_SENT, nowMillis);
		}
		else {
			this.scheduler.startUnanswered(endpointId, run, nowMillis);
		}
	}

	private void handleStartRefusal(EndpointLease lease, TaskRun run, long token, StartRefusal refusal,
			long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", lease.entry().id())
			.addKeyValue("reason", refusal)
			.log("Endpoint refused to start a task");
		this.metrics.startRefused(refusal);
		// Determined first, as the scheduler may raise the token when it learns the
		// refusal.
		boolean superseded = this.leases.isSuperseded(lease.entry(), token);
		this.scheduler.startRefused(lease.entry().id(), run, refusal, nowMillis);
		if (refusal == StartRefusal.FENCED && !superseded) {
			this.leases.reportFenced(lease);
		}
	}

	/**
	 * Requests an endpoint to stop a run, or never to start it.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param reason the reason, for the log
	 */
	void stop(EndpointEntry endpoint, TaskRun run, String reason) {
		this.metrics.stopOrdered();
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("reason", reason)
			.log("Requesting an endpoint to stop a task");
		long requestedMillis = Clock.nowMillis();
		this.calls.stop(endpoint, run, this.leases.commandToken(endpoint)).whenComplete((accepted, error) -> {
			if (error == null && accepted && !this.pools.isFrozen()) {
				this.scheduler.stopConfirmed(endpoint.id(), run, requestedMillis, Clock.nowMillis());
			}
			else if (error != null) {
				logger.atDebug().addKeyValue("task", run).log("Stop request failed without an answer of the endpoint");
			}
		});
	}

}
