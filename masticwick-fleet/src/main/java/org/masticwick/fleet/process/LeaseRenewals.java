package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * Renews the leases of the endpoints of an owner, passes the reports that the endpoints
 * answer with to the scheduler, and tells it which leases have expired. Must be called on
 * the event loop.
 */
final class LeaseRenewals {

	/** The logger name is a field of the log lines, which keep that of their owner. */
	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	/** The delay of the next renewal after an endpoint was unreachable. */
	private static final long UNREACHABLE_RETRY_MILLIS = 100;

	/**
	 * The delay of the next renewal while the log stores terminations; the log answers in
	 * a fraction of it.
	 */
	private static final long UNSTORED_RETRY_MILLIS = 15;

	/**
	 * The delay of the next renewal while terminations can't be assigned to a job; the
	 * time for which a renewal of a busy endpoint waits for terminations.
	 */
	private static final long UNRESOLVED_RETRY_MILLIS = 100;

	private final EventLoop eventLoop;

	private final EndpointCalls calls;

	private final OwnedPools pools;

	private final FleetMetrics metrics;

	private final PoolScheduler scheduler;

	private final long responseTimeoutMillis;

	private final Consumer<String> fencedPools;

	private final LeaseSettings settings = LeaseSettings.defaults();

	private final Map<String, EndpointLease> leases = new HashMap<>();

	/**
	 * Creates an instance without leases.
	 * @param eventLoop the event loop that runs delayed renewals
	 * @param calls the client of the endpoints
	 * @param pools the pools of the owner
	 * @param metrics counts the renewals
	 * @param scheduler gets the reports of the endpoints
	 * @param responseTimeoutMillis after how long without an answer an endpoint is
	 * unresponsive, in milliseconds
	 * @param fencedPools gets the names of pools of which another owner has a higher
	 * fencing token
	 */
	LeaseRenewals(EventLoop eventLoop, EndpointCalls calls, OwnedPools pools, FleetMetrics metrics,
			PoolScheduler scheduler, long responseTimeoutMillis, Consumer<String> fencedPools) {
		this.eventLoop = eventLoop;
		this.calls = calls;
		this.pools = pools;
		this.metrics = metrics;
		this.scheduler = scheduler;
		this.responseTimeoutMillis = responseTimeoutMillis;
		this.fencedPools = fencedPools;
	}

	/**
	 * Returns the lease of an endpoint.
	 * @param endpointId the id of the endpoint
	 * @return the lease, or {@code null} if there is none
	 */
	EndpointLease find(String endpointId) {
		return this.leases.get(endpointId);
	}

	/**
	 * Adds a listed endpoint and starts to renew its lease, or updates its entry.
	 * @param entry the entry of the endpoint list
	 */
	void endpointListed(EndpointEntry entry) {
		EndpointLease lease = this.leases.get(entry.id());
		if (lease != null) {
			lease.setEntry(entry);
			return;
		}
		EndpointLease newLease = new EndpointLease(this.settings, entry);
		this.leases.put(entry.id(), newLease);
		renew(newLease);
	}

	/**
	 * Ends the leases of a pool that another host owns now.
	 * @param pool the name of the pool
	 */
	void removePool(String pool) {
		long nowMillis = Clock.nowMillis();
		List.copyOf(this.leases.values())
			.stream()
			.filter((lease) -> lease.entry().domain().equals(pool))
			.forEach((lease) -> {
				closeLease(lease);
				this.scheduler.endpointRevoked(lease.entry().id(), nowMillis);
			});
	}

	/**
	 * Resumes the renewals that ended while the owner was frozen.
	 */
	void resume() {
		List.copyOf(this.leases.values()).stream().filter((lease) -> !lease.isRenewing()).forEach(this::renew);
	}

	/**
	 * Reports the leases that have certainly expired to the scheduler.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void tick(long nowMillis) {
		List.copyOf(this.leases.values()).forEach((lease) -> checkLease(lease, nowMillis));
	}

	private void checkLease(EndpointLease lease, long nowMillis) {
		boolean unresponsive = lease.isUnresponsive(nowMillis, this.responseTimeoutMillis);
		if (lease.updateUnresponsive(unresponsive)) {
			logger.atInfo()
				.addKeyValue("pool", lease.entry().domain())
				.addKeyValue("endpoint", lease.entry().id())
				.addKeyValue("silent", unresponsive)
				.log("Endpoint responsiveness changed; renewals don't extend the lease of an unresponsive endpoint");
		}
		if (unresponsive && lease.pollExpiry(nowMillis)) {
			this.scheduler.leaseExpired(lease.entry().id(), nowMillis);
		}
	}

	private void renew(EndpointLease lease) {
		if (lease.isClosed() || this.pools.isFrozen()) {
			return;
		}
		lease.setRenewing(true);
		long nowMillis = Clock.nowMillis();
		String endpointId = lease.entry().id();
		boolean busy = this.scheduler.isBusy(endpointId);
		boolean extendLease = this.scheduler.mayExtendLease(endpointId)
				&& !lease.isUnresponsive(nowMillis, this.responseTimeoutMillis);
		long maxWaitMillis = busy ? this.settings.busyWaitMillis() : this.settings.idleWaitMillis();
		// Jobs may be held until the first report, which lists the runs of a previous
		// owner.
		long waitMillis = lease.hasContact() ? maxWaitMillis : 0;
		OptionalLong leaseEndMillis = extendLease ? lease.renew(nowMillis) : OptionalLong.empty();
		leaseEndMillis.ifPresent((endMillis) -> this.scheduler.leaseExtended(endpointId, nowMillis));
		this.metrics.leaseRenewed();
		long token = commandToken(lease.entry());
		this.calls
			.renew(lease.entry(), token, this.scheduler.acknowledgedTerminationNumber(endpointId), leaseEndMillis,
					waitMillis, maxWaitMillis + this.settings.timeoutMarginMillis())
			.whenComplete((report, error) -> handleRenewal(lease, token, nowMillis, report, error));
	}

	private void handleRenewal(EndpointLease lease, long token, long requestedMillis, Optional<EndpointReport> report,
			Throwable error) {
		lease.setRenewing(false);
		if (lease.isClosed() || this.pools.isFrozen()) {
			return;
		}
		if (error != null) {
			handleRenewalFailure(lease, CallException.from(error));
			return;
		}
		if (report.isEmpty()) {
			if (isSuperseded(lease.entry(), token)) {
				renew(lease);
				return;
			}
			reportFenced(lease);
			return;
		}
		long nowMillis = Clock.nowMillis();
		lease.recordContact(report.get().startedEpochMillis(), report.get().clockMillis(), nowMillis);
		this.scheduler.endpointReported(lease.entry().id(), report.get(), requestedMillis, nowMillis);
		renewOrCloseLease(lease);
	}

	private void renewOrCloseLease(EndpointLease lease) {
		String endpointId = lease.entry().id();
		if (!this.scheduler.isTracked(endpointId)) {
			closeLease(lease);
		}
		else if (this.scheduler.isReportDeferred(endpointId)) {
			// The endpoint would answer at once if it lists terminations.
			lease.setRenewing(true);
			this.eventLoop.schedule(() -> renew(lease), UNSTORED_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (this.scheduler.hasUnstoredTerminations(endpointId)) {
			// The endpoint would answer at once with the same terminations.
			lease.setRenewing(true);
			long delayMillis = this.scheduler.hasUnresolvedTerminations(endpointId) ? UNRESOLVED_RETRY_MILLIS
					: UNSTORED_RETRY_MILLIS;
			this.eventLoop.schedule(() -> renew(lease), delayMillis, TimeUnit.MILLISECONDS);
		}
		else {
			renew(lease);
		}
	}

	private void closeLease(EndpointLease lease) {
		lease.close();
		this.leases.remove(lease.entry().id());
	}

	private void handleRenewalFailure(EndpointLease lease, CallException error) {
		this.metrics.renewalFailed();
		if (error.code() == CallException.Code.TIMEOUT) {
			renew(lease);
			return;
		}
		lease.setRenewing(true);
		this.eventLoop.schedule(() -> renewOrCloseLease(lease), UNREACHABLE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the fencing token for the next command to an endpoint.
	 * @param endpoint the endpoint
	 * @return the token
	 */
	long commandToken(EndpointEntry endpoint) {
		return this.pools.commandToken(endpoint.domain(), this.scheduler.commandCount(endpoint.id()));
	}

	/**
	 * Returns whether later commands of this owner to an endpoint carry a higher fencing
	 * token than an earlier one, and may have overtaken it. Its refusal does not tell of
	 * another owner then.
	 * @param endpoint the endpoint
	 * @param token the fencing token of the earlier command
	 * @return whether the command is superseded
	 */
	boolean isSuperseded(EndpointEntry endpoint, long token) {
		return token < commandToken(endpoint);
	}

	/**
	 * Reports that an endpoint refused a command because of a higher fencing token.
	 * @param lease the lease of the endpoint
	 */
	void reportFenced(EndpointLease lease) {
		String pool = lease.entry().domain();
		if (this.pools.isFrozen() || !this.pools.contains(pool)) {
			return;
		}
		logger.atWarn()
			.addKeyValue("pool", pool)
			.addKeyValue("endpoint", lease.entry().id())
			.addKeyValue("token", this.pools.token(lease.entry().domain()))
			.log("Endpoint refused a command, as another owner has a higher fencing token; the pool is dropped");
		this.fencedPools.accept(pool);
	}

	/**
	 * Returns whether all endpoints have reported since a time.
	 * @param sinceMillis the time in milliseconds
	 * @return whether all have reported
	 */
	boolean allContactedSince(long sinceMillis) {
		return this.leases.values().stream().allMatch((lease) -> lease.lastContactMillis() > sinceMillis);
	}

	/**
	 * Returns whether a pool has endpoints that are listed or have runs.
	 * @param pool the name of the pool
	 * @return whether it has any
	 */
	boolean hasEndpoints(String pool) {
		return this.leases.values()
			.stream()
			.filter((lease) -> lease.entry().domain().equals(pool))
			.anyMatch((lease) -> this.scheduler.isTracked(lease.entry().id()));
	}

	/**
	 * Returns when any endpoint of a pool last answered.
	 * @param pool the name of the pool
	 * @return the time in milliseconds, far in the past if none has
	 */
	long lastContactMillis(String pool) {
		return this.leases.values()
			.stream()
			.filter((lease) -> lease.entry().domain().equals(pool))
			.mapToLong(EndpointLease::lastContactMillis)
			.max()
			.orElse(Long.MIN_VALUE / 2);
	}

}
