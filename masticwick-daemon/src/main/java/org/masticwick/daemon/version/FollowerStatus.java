package org.masticwick.daemon.version;

/**
 * Tells how following the log goes.
 *
 * @param everSucceeded whether the log was read at all
 * @param lastSuccessNanos when the log was read last, on the clock of the process
 * @param logBehind whether the log lacks something that is in force here
 * @param failureCount how many reads have failed since the start
 * @param lastFailure what failed last; empty if nothing did
 */
public record FollowerStatus(boolean everSucceeded, long lastSuccessNanos, boolean logBehind, long failureCount,
		String lastFailure) {

}
