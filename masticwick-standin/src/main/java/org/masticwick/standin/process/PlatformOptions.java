package org.masticwick.standin.process;

/**
 * Settings of a simulated platform.
 *
 * @param appendDelayMillis the duration of an append, in milliseconds
 * @param maxAppendsPerSecond the maximum number of appends per second
 * @param hostListLagMillis the delay until a change of the host list becomes visible, in
 * milliseconds
 * @param retentionRecordCount the number of records that each stream retains
 */
public record PlatformOptions(long appendDelayMillis, int maxAppendsPerSecond, long hostListLagMillis,
		int retentionRecordCount) {

}
