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
final class StateWatch {

	private static final Logger logger = LoggerFactory.getLogger(StateWatch.class);

	private Set<HostAddress> ejected = Set.of();

	private long failureCount;

	private long lastSuccessNanos;

	private boolean logFailing;

	/**
	 * Logs that a version is in force.
	 * @param version the number of the version
	 * @param logOffset the offset up to which the log was read
	 */
	void inForce(long version, long logOffset) {
		logger.atInfo().addKeyValue("version", version).addKeyValue("log_offset", logOffset).log("Version in force");
	}

	/**
	 * Logs what has changed since the last look.
	 * @param scheduler what the scheduler knows
	 * @param log how following the log goes
	 */
	void look(SchedulerSnapshot scheduler, FollowerStatus log) {
		Set<HostAddress> now = scheduler.endpoints()
			.stream()
			.filter(SchedulerSnapshot.Endpoint::ejected)
			.map(SchedulerSnapshot.Endpoint::address)
			.collect(Collectors.toUnmodifiableSet());
		logDifference("Endpoint ejected", now, this.ejected);
		logDifference("Endpoint readmitted", this.ejected, now);
		this.ejected = now;
		lookAtLog(log);
	}

	private static void logDifference(String message, Set<HostAddress> from, Set<HostAddress> without) {
		from.stream()
			.filter((address) -> !without.contains(address))
			.sorted()
			.forEach((address) -> logger.atInfo().addKeyValue("endpoint", address).log(message));
	}

	private void lookAtLog(FollowerStatus log) {
		boolean read = log.lastSuccessNanos() != this.lastSuccessNanos;
		boolean failed = log.failureCount() != this.failureCount;
		if (failed && !read && !this.logFailing) {
			this.logFailing = true;
			logger.atInfo().addKeyValue("failure", log.lastFailure()).log("Log unreachable");
		}
		else if (read && !failed && this.logFailing) {
			this.logFailing = false;
			logger.info("Log read again");
		}
		this.lastSuccessNanos = log.lastSuccessNanos();
		this.failureCount = log.failureCount();
	}

}
