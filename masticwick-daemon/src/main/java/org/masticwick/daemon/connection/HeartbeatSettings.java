package org.masticwick.daemon.connection;

import java.util.List;

import org.masticwick.core.connection.LoadBudget;
import org.masticwick.core.process.HostAddress;

/**
 * Settings of the heartbeats.
 *
 * @param intervalMillis the time between two heartbeats, in milliseconds
 * @param summaryIntervalMillis the time between two summaries to another failure domain,
 * in milliseconds
 * @param relayIntervalMillis the time after which a summary of another domain that has
 * not changed is passed on to the own domain again, in milliseconds
 * @param fullLoadIntervalMillis the time between two heartbeats with the whole load, in
 * milliseconds
 * @param linkCount how many hosts of a domain send summaries to each other domain
 * @param loadBudget how many entries of the load go into one heartbeat
 * @param seeds peers to start from
 */
public record HeartbeatSettings(long intervalMillis, long summaryIntervalMillis, long relayIntervalMillis,
		long fullLoadIntervalMillis, int linkCount, LoadBudget loadBudget, List<HostAddress> seeds) {

	private static final long DEFAULT_INTERVAL_MILLIS = 1_000;

	private static final long DEFAULT_SUMMARY_INTERVAL_MILLIS = 4_000;

	private static final long DEFAULT_RELAY_INTERVAL_MILLIS = 8_000;

	private static final long DEFAULT_WHOLE_LOAD_INTERVAL_MILLIS = 120_000;

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
				DEFAULT_RELAY_INTERVAL_MILLIS, DEFAULT_WHOLE_LOAD_INTERVAL_MILLIS, DEFAULT_LINK_COUNT,
				LoadBudget.defaults(), seeds);
	}

}
