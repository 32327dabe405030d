package org.masticwick.daemon.connection;

import java.util.Map;
import java.util.stream.Collectors;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessage;

/**
 * Remembers what was told of a failure domain, so that only what has changed is told
 * again. Not safe for several threads.
 */
final class ToldSummary {

	private static final int WHOLE_SUMMARY_INTERVAL_COUNT = 10;

	private Map<EntryHost, Integer> toldDigests = Map.of();

	private long toldCount;

	/**
	 * Returns whether a summary tells anything of the hosts that was not told.
	 * @param whole the summary with the status of each host
	 * @return {@code true} if a host came, went or changed its status
	 */
	boolean differs(PeerMessage.DomainSummary whole) {
		return !digests(whole).equals(this.toldDigests);
	}

	/**
	 * Leaves out of a summary what was told, and counts the rest as told. From time to
	 * time nothing is left out, since messages get lost.
	 * @param whole the summary with the status of each host
	 * @return the summary to send
	 */
	PeerMessage.DomainSummary next(PeerMessage.DomainSummary whole) {
		Map<EntryHost, Integer> known = (this.toldCount % WHOLE_SUMMARY_INTERVAL_COUNT == 0) ? Map.of()
				: this.toldDigests;
		this.toldCount++;
		this.toldDigests = digests(whole);
		return new PeerMessage.DomainSummary(whole.domain(), whole.services(),
				whole.hosts().stream().map((host) -> isKnown(host, known) ? host.withoutStatus() : host).toList());
	}

	private static boolean isKnown(HostSummary summary, Map<EntryHost, Integer> known) {
		Integer digest = known.get(summary.host());
		return digest != null && digest == summary.statusDigest();
	}

	private static Map<EntryHost, Integer> digests(PeerMessage.DomainSummary summary) {
		return summary.hosts()
			.stream()
			.collect(Collectors.toUnmodifiableMap(HostSummary::host, HostSummary::statusDigest));
	}

}
