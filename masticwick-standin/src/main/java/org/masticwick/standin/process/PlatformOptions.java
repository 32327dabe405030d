package org.masticwick.standin.process;

/**
 * Holds how a stand-in of the platform is set up.
 *
 * @param appendDelayMillis how long a synced append takes, in milliseconds
 * @param maxAppendsPerSecond how many appends a second there are at most
 * @param hostListLagMillis how far the list of hosts lags behind, in milliseconds
 * @param retentionRecordCount how many records a stream keeps
 */
public record PlatformOptions(long appendDelayMillis, int maxAppendsPerSecond, long hostListLagMillis,
		int retentionRecordCount) {

}
