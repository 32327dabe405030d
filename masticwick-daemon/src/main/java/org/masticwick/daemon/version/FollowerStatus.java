package org.masticwick.daemon.version;

/**
 * State of a host's reads of the log of release notes.
 *
 * @param everSucceeded whether any read has succeeded since the process started
 * @param lastSuccessNanos time of the last successful read on the monotonic clock of the
 * process; meaningless while none has succeeded
 * @param logBehind whether the log lacks release notes that are active on this host, so
 * that it must be restored
 * @param failureCount number of reads that failed since the process started
 * @param lastFailure text of the last failure; empty if no read has failed
 */
public record FollowerStatus(boolean everSucceeded, long lastSuccessNanos, boolean logBehind, long failureCount,
		String lastFailure) {

}
