package org.masticwick.daemon.process.settings;

import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * The section {@code peers}: the communication with other entry hosts.
 *
 * @param seeds addresses of peers to which this host connects before it has received the
 * host list
 * @param heartbeatIntervalMillis the interval at which heartbeats are sent, in
 * milliseconds
 * @param silenceLimitMillis the age of the last heartbeat above which a peer counts as
 * lost, in milliseconds
 * @param callSilenceLimitMillis the idle timeout of connections to peers: a connection on
 * which no byte arrives for so long is closed and its calls fail, in milliseconds
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
