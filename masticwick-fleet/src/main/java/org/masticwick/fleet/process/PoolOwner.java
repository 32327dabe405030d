package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.PooledJob;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * Owns a pool of endpoints: keeps their leases, carries out what the scheduler decides,
 * and brings it what the endpoints answer. All calls come on the event loop.
 */
final class PoolOwner implements PoolActions {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	/** The wait before an endpoint that can't be reached is asked again. */
	private static final long UNREACHABLE_PAUSE_MILLIS = 100;

	private final EventLoop eventLoop;

	private final EndpointCalls calls;

	private final PoolClaim claim;

	private final LeaseSettings leaseSettings = LeaseSettings.defaults();

	private final PoolSettings poolSettings = PoolSettings.defaults();

	private final Listener listener;

	private final FleetMetrics metrics;

	private final PoolScheduler scheduler;

	private final Map<String, EndpointLease> leases = new HashMap<>();

	private boolean closed;

	PoolOwner(EventLoop eventLoop, EndpointCalls calls, PoolClaim claim, FleetMetrics metrics, Listener listener) {
		this.eventLoop = eventLoop;
		this.calls = calls;
		this.claim = claim;
		this.metrics = metrics;
		this.listener = listener;
		this.scheduler = new PoolScheduler(this.poolSettings, this);
	}

	PoolClaim claim() {
		return this.claim;
	}

	PoolReport report() {
		return new PoolReport(this.claim.pool(), this.claim.fencingToken(), this.scheduler.load(Clock.nowMillis()));
	}

	int jobCount() {
		return this.scheduler.load(Clock.nowMillis()).jobCount();
	}

	void submit(JobSpec job, JobTerms terms, JobOrigin origin) {
		this.scheduler.submit(job, terms, origin, Clock.nowMillis());
	}

	void cancel(String jobId, JobOrigin origin) {
		this.scheduler.cancel(jobId, origin, Clock.nowMillis());
	}

	void originLost(String hostName) {
		this.scheduler.originLost(hostName, Clock.nowMillis());
	}

	/**
	 * Gives up all jobs and orders nothing any more.
	 */
	void close() {
		this.scheduler.abandon(Clock.nowMillis());
		this.closed = true;
		this.leases.values().forEach(EndpointLease::close);
	}

	void endpointListed(EndpointEntry entry) {
		if (this.closed) {
			return;
		}
		this.scheduler.endpointListed(entry, Clock.nowMillis());
		EndpointLease lease = this.leases.get(entry.id());
		if (lease != null) {
			lease.entry(entry);
			return;
		}
		EndpointLease fresh = new EndpointLease(this.leaseSettings, entry);
		this.leases.put(entry.id(), fresh);
		renew(fresh);
	}

	void endpointUnlisted(String endpointId) {
		this.scheduler.endpointUnlisted(endpointId, Clock.nowMillis());
	}

	void tick() {
		long nowMillis = Clock.nowMillis();
		List.copyOf(this.leases.values()).forEach((lease) -> checkLease(lease, nowMillis));
		this.scheduler.tick(nowMillis);
	}

	private void checkLease(EndpointLease lease, long nowMillis) {
		boolean silent = lease.isSilent(nowMillis, this.poolSettings.silenceLimitMillis());
		if (lease.changeSilence(silent)) {
			logger.atInfo()
				.addKeyValue("pool", this.claim.pool())
				.addKeyValue("endpoint", lease.entry().id())
				.addKeyValue("silent", silent)
				.log("Endpoint reachability changed");
		}
		if (silent && lease.takeLapse(nowMillis)) {
			this.scheduler.leaseLapsed(lease.entry().id(), nowMillis);
		}
	}

	private void renew(EndpointLease lease) {
		if (lease.isClosed()) {
			return;
		}
		long nowMillis = Clock.nowMillis();
		String id = lease.entry().id();
		boolean busy = this.scheduler.isBusy(id);
		boolean extend = busy && !lease.isSilent(nowMillis, this.poolSettings.silenceLimitMillis());
		long waitMillis = busy ? this.leaseSettings.busyWaitMillis() : this.leaseSettings.idleWaitMillis();
		OptionalLong leaseEndMillis = extend ? lease.renew(nowMillis) : OptionalLong.empty();
		this.metrics.leaseRenewed();
		this.calls
			.renew(lease.entry(), this.claim.fencingToken(), this.scheduler.acknowledgedEndNumber(id), leaseEndMillis,
					waitMillis, waitMillis + this.leaseSettings.marginMillis())
			.whenComplete((report, error) -> renewed(lease, nowMillis, report, error));
	}

	private void renewed(EndpointLease lease, long askedMillis, Optional<EndpointReport> report, Throwable error) {
		if (lease.isClosed()) {
			return;
		}
		if (error != null) {
			renewFailed(lease, cause(error));
			return;
		}
		if (report.isEmpty()) {
			fenced(lease);
			return;
		}
		long nowMillis = Clock.nowMillis();
		lease.heard(report.get().clockMillis(), nowMillis);
		this.scheduler.reported(lease.entry().id(), report.get(), askedMillis, nowMillis);
		renewOrForget(lease);
	}

	private void renewOrForget(EndpointLease lease) {
		if (this.scheduler.knows(lease.entry().id())) {
			renew(lease);
			return;
		}
		lease.close();
		this.leases.remove(lease.entry().id());
	}

	private void renewFailed(EndpointLease lease, CallException error) {
		this.metrics.renewalFailed();
		if (error.code() == CallException.Code.TIMEOUT) {
			renew(lease);
			return;
		}
		this.eventLoop.schedule(() -> renewOrForget(lease), UNREACHABLE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void fenced(EndpointLease lease) {
		if (!this.closed) {
			logger.atWarn()
				.addKeyValue("pool", this.claim.pool())
				.addKeyValue("endpoint", lease.entry().id())
				.addKeyValue("fencing_token", this.claim.fencingToken())
				.log("Order refused, as another owner has a higher fencing token");
			this.listener.fenced(this);
		}
	}

	@Override
	public void start(EndpointEntry endpoint, TaskRun run, String payload) {
		EndpointLease lease = this.leases.get(endpoint.id());
		long nowMillis = Clock.nowMillis();
		OptionalLong leaseEndMillis = lease.renew(nowMillis);
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("token", this.claim.fencingToken())
			.log("Start ordered");
		this.metrics.startOrdered();
		this.calls.start(endpoint, run, payload, this.claim.fencingToken(), leaseEndMillis.orElse(0))
			.whenComplete((refusal, error) -> startAnswered(lease, run, refusal, error));
	}

	private void startAnswered(EndpointLease lease, TaskRun run, Optional<StartRefusal> refusal, Throwable error) {
		String id = lease.entry().id();
		long nowMillis = Clock.nowMillis();
		if (error != null) {
			startFailed(id, run, cause(error), nowMillis);
		}
		else if (refusal.isEmpty()) {
			this.scheduler.startAccepted(id, run, nowMillis);
		}
		else {
			startRefused(lease, run, refusal.get(), nowMillis);
		}
	}

	private void startFailed(String endpointId, TaskRun run, CallException error, long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpointId)
			.addKeyValue("reason", error.code())
			.log("Start without an answer");
		if (error.code() == CallException.Code.NOT_SENT) {
			this.scheduler.startRefused(endpointId, run, StartRefusal.NOT_SENT, nowMillis);
		}
		else {
			this.scheduler.startUnanswered(endpointId, run, nowMillis);
		}
	}

	private void startRefused(EndpointLease lease, TaskRun run, StartRefusal refusal, long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", lease.entry().id())
			.addKeyValue("reason", refusal)
			.log("Start refused");
		this.metrics.startRefused(refusal);
		this.scheduler.startRefused(lease.entry().id(), run, refusal, nowMillis);
		if (refusal == StartRefusal.FENCED) {
			fenced(lease);
		}
	}

	@Override
	public void stop(EndpointEntry endpoint, TaskRun run, String reason) {
		this.metrics.stopOrdered();
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("reason", reason)
			.log("Stop ordered");
		this.calls.stop(endpoint, run, this.claim.fencingToken()).whenComplete((taken, error) -> {
			if (error == null && taken) {
				this.scheduler.stopConfirmed(endpoint.id(), run, Clock.nowMillis());
			}
			else if (error != null) {
				logger.atDebug().addKeyValue("task", run).log("Stop without an answer");
			}
		});
	}

	@Override
	public void answer(PooledJob job, JobOutcome outcome) {
		logger.atInfo()
			.addKeyValue("job", job.spec().jobId())
			.addKeyValue("queue", job.terms().queue())
			.addKeyValue("version", job.terms().versionNumber())
			.addKeyValue("pool", this.claim.pool())
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("took_ms", Clock.nowMillis() - job.arrivedMillis())
			.addKeyValue("expected_ms", Math.round(job.expectedMillis()))
			.addKeyValue("retry_after_ms", outcome.retryAfterMillis())
			.log("Job answered by its pool");
		JobOrigin origin = job.origin();
		this.eventLoop.execute(() -> this.listener.answered(origin, job.spec().jobId(), outcome));
	}

	private static CallException cause(Throwable error) {
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		if (cause instanceof CallException call) {
			return call;
		}
		return new CallException(CallException.Code.MALFORMED, String.valueOf(cause));
	}

	/**
	 * Hears what becomes of the jobs of a pool.
	 */
	interface Listener {

		/**
		 * Takes the final answer on a job.
		 * @param origin who waits for it
		 * @param jobId the job
		 * @param outcome the answer
		 */
		void answered(JobOrigin origin, String jobId, JobOutcome outcome);

		/**
		 * Takes note that another owner has a higher token.
		 * @param owner the owner that has been shut out
		 */
		void fenced(PoolOwner owner);

	}

}
