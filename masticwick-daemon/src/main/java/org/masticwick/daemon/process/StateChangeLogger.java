package org.masticwick.daemon.process;

import java.util.Set;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.daemon.version.FollowerStatus;

/**
 * Logs state changes: newly active versions, drained failure domains, ejected and
 * readmitted endpoints, and whether the log is reachable. Not thread-safe: each method
 * must be called by one thread at a time.
 */
final class StateChangeLogger {

	private static final Logger logger = LoggerFactory.getLogger(StateChangeLogger.class);

	private Set<HostAddress> ejectedEndpoints = Set.of();

	private Set<String> drainedDomains = Set.of();

	private long lastFailureCount;

	private long lastSuccessNanos;

	private boolean logUnreachable;

	/**
	 * Logs that a version has become active.
	 * @param version the number of the version
	 * @param logOffset the offset of the next record to read from the log
	 */
	void logActiveVersion(long version, long logOffset) {
		logger.atInfo()
			.addKeyValue("version", version)
			.addKeyValue("log_offset", logOffset)
			.log("Version active; new jobs are scheduled by it");
	}

	/**
	 * Logs what has changed since the previous call.
	 * @param schedulerSnapshot the state of the scheduler, with its endpoints
	 * @param followerStatus the status of reading the log
	 */
	void logChanges(SchedulerSnapshot schedulerSnapshot, FollowerStatus followerStatus) {
		Set<HostAddress> nowEjected = schedulerSnapshot.endpoints()
			.stream()
			.filter(SchedulerSnapshot.Endpoint::ejected)
			.map(SchedulerSnapshot.Endpoint::address)
			.collect(Collectors.toUnmodifiableSet());
		logEndpointsNotIn("Endpoint ejected; it receives no new tasks", nowEjected, this.ejectedEndpoints);
		logEndpointsNotIn("Endpoint readmitted; it receives tasks again", this.ejectedEndpoints, nowEjected);
		this.ejectedEndpoints = nowEjected;
		logReachability(followerStatus);
	}

	/**
	 * Logs which failure domains have been drained or returned to service since the
	 * previous call.
	 * @param version the number of the active version
	 * @param nowDrained the failure domains that this version drains
	 */
	void logDrainedDomains(long version, Set<String> nowDrained) {
		logDomainsNotIn("Failure domain drained; its endpoints receive no new tasks", nowDrained, this.drainedDomains,
				version);
		logDomainsNotIn("Failure domain returned to service; its endpoints receive tasks again", this.drainedDomains,
				nowDrained, version);
		this.drainedDomains = Set.copyOf(nowDrained);
	}

	private static void logDomainsNotIn(String message, Set<String> domains, Set<String> excluded, long version) {
		domains.stream()
			.filter((domain) -> !excluded.contains(domain))
			.sorted()
			.forEach((domain) -> logger.atInfo()
				.addKeyValue("domain", domain)
				.addKeyValue("version", version)
				.log(message));
	}

	private static void logEndpointsNotIn(String message, Set<HostAddress> endpoints, Set<HostAddress> excluded) {
		endpoints.stream()
			.filter((address) -> !excluded.contains(address))
			.sorted()
			.forEach((address) -> logger.atInfo().addKeyValue("endpoint", address).log(message));
	}

	private void logReachability(FollowerStatus followerStatus) {
		boolean readSucceeded = followerStatus.lastSuccessNanos() != this.lastSuccessNanos;
		boolean readFailed = followerStatus.failureCount() != this.lastFailureCount;
		if (readFailed && !readSucceeded && !this.logUnreachable) {
			this.logUnreachable = true;
			logger.atInfo()
				.addKeyValue("failure", followerStatus.lastFailure())
				.log("Log unreachable; the active version stays and reads are retried");
		}
		else if (readSucceeded && !readFailed && this.logUnreachable) {
			this.logUnreachable = false;
			logger.info("Log reachable again");
		}
		this.lastSuccessNanos = followerStatus.lastSuccessNanos();
		this.lastFailureCount = followerStatus.failureCount();
	}

}
