package org.masticwick.daemon.process.settings;

import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Tells how an entry host talks to other entry hosts.
 *
 * @param seeds peer addresses that are tried before the host list is known
 * @param heartbeatIntervalMillis how often heartbeats go out, in milliseconds
 * @param silenceLimitMillis after how much silence a peer counts as lost, in milliseconds
 * @param callSilenceLimitMillis how long a call waits for any sign of the peer, in
 * milliseconds
 */
public record PeerSettings(List<HostAddress> seeds, long heartbeatIntervalMillis, long silenceLimitMillis,
		long callSilenceLimitMillis) {

	/**
	 * Copies the seeds.
	 */
	public PeerSettings {
		seeds = List.copyOf(seeds);
	}

}
