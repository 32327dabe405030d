package org.masticwick.daemon.connection;

import java.util.List;

import org.masticwick.core.connection.LoadBudget;
import org.masticwick.core.process.HostAddress;

/**
 * Settings of heartbeats and domain summaries.
 *
 * @param intervalMillis the time between two heartbeats, in milliseconds
 * @param summaryIntervalMillis the time between two summaries to another failure domain,
 * in milliseconds
 * @param relayIntervalMillis the time after which an unchanged summary of another domain
 * is forwarded to the own domain again, in milliseconds
 * @param fullLoadIntervalMillis the time between two heartbeats with the complete load,
 * in milliseconds; the others contain only changed entries
 * @param linkCount how many hosts of a domain send summaries to each other domain
 * @param loadBudget the maximum number of changed load entries in one heartbeat
 * @param seeds peers to start from
 */
public record HeartbeatSettings(long intervalMillis, long summaryIntervalMillis, long relayIntervalMillis,
		long fullLoadIntervalMillis, int linkCount, LoadBudget loadBudget, List<HostAddress> seeds) {

	private static final long DEFAULT_INTERVAL_MILLIS = 1_000;

	private static final long DEFAULT_SUMMARY_INTERVAL_MILLIS = 4_000;

	private static final long DEFAULT_RELAY_INTERVAL_MILLIS = 8_000;

	private static final long DEFAULT_FULL_LOAD_INTERVAL_MILLIS = 120_000;

	private static final int DEFAULT_LINK_COUNT = 2;

	/**
	 * Copies the list.
	 */
	public HeartbeatSettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns the default settings.
	 * @param seeds peers to start from
	 * @return the settings
	 */
	public static HeartbeatSettings of(List<HostAddress> seeds) {
		return new HeartbeatSettings(DEFAULT_INTERVAL_MILLIS, DEFAULT_SUMMARY_INTERVAL_MILLIS,
				DEFAULT_RELAY_INTERVAL_MILLIS, DEFAULT_FULL_LOAD_INTERVAL_MILLIS, DEFAULT_LINK_COUNT,
				LoadBudget.defaults(), seeds);
	}

}
