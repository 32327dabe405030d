package org.masticwick.daemon.process;

import java.util.Set;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.daemon.version.FollowerStatus;

/**
 * Logs changes of the state that no message tells: versions, ejected endpoints and the
 * way to the log. Called by one thread at a time for each method.
 */
final class StateChangeLogger {

	private static final Logger logger = LoggerFactory.getLogger(StateChangeLogger.class);

	private Set<HostAddress> ejectedEndpoints = Set.of();

	private long lastFailureCount;

	private long lastSuccessNanos;

	private boolean logUnreachable;

	/**
	 * Logs that a version is in force.
	 * @param version the number of the version
	 * @param logOffset the offset up to which the log was read
	 */
	void logActiveVersion(long version, long logOffset) {
		logger.atInfo().addKeyValue("version", version).addKeyValue("log_offset", logOffset).log("Version in force");
	}

	/**
	 * Logs what has changed since the last look.
	 * @param schedulerSnapshot what the scheduler knows
	 * @param followerStatus how following the log goes
	 */
	void logChanges(SchedulerSnapshot schedulerSnapshot, FollowerStatus followerStatus) {
		Set<HostAddress> nowEjected = schedulerSnapshot.endpoints()
			.stream()
			.filter(SchedulerSnapshot.Endpoint::ejected)
			.map(SchedulerSnapshot.Endpoint::address)
			.collect(Collectors.toUnmodifiableSet());
		logEndpointsNotIn("Endpoint ejected", nowEjected, this.ejectedEndpoints);
		logEndpointsNotIn("Endpoint readmitted", this.ejectedEndpoints, nowEjected);
		this.ejectedEndpoints = nowEjected;
		logReachability(followerStatus);
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
			logger.atInfo().addKeyValue("failure", followerStatus.lastFailure()).log("Log unreachable");
		}
		else if (readSucceeded && !readFailed && this.logUnreachable) {
			this.logUnreachable = false;
			logger.info("Log read again");
		}
		this.lastSuccessNanos = followerStatus.lastSuccessNanos();
		this.lastFailureCount = followerStatus.failureCount();
	}

}
