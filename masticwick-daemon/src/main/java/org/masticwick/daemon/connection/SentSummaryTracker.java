package org.masticwick.daemon.connection;

import java.util.Map;
import java.util.stream.Collectors;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessage;

/**
 * Tracks the summaries of a failure domain that were sent, so that the next one contains
 * the status of changed hosts only. Not safe for several threads.
 */
final class SentSummaryTracker {

	private static final int FULL_SUMMARY_INTERVAL_COUNT = 10;

	private Map<EntryHost, Integer> sentDigests = Map.of();

	private long sentCount;

	/**
	 * Returns whether the hosts or their status differ from the summary sent last.
	 * @param full the summary with the status of each host
	 * @return {@code true} if a host was added, was removed or changed its status
	 */
	boolean hasChanges(PeerMessage.DomainSummary full) {
		return !digests(full).equals(this.sentDigests);
	}

	/**
	 * Reduces a summary to the status of changed hosts, and records it as sent. The first
	 * summary and every tenth after it stay complete, since messages may be lost.
	 * @param full the summary with the status of each host
	 * @return the summary to send
	 */
	PeerMessage.DomainSummary recordNextToSend(PeerMessage.DomainSummary full) {
		Map<EntryHost, Integer> omittableDigests = (this.sentCount % FULL_SUMMARY_INTERVAL_COUNT == 0) ? Map.of()
				: this.sentDigests;
		this.sentCount++;
		this.sentDigests = digests(full);
		return new PeerMessage.DomainSummary(full.domain(), full.services(),
				full.hosts()
					.stream()
					.map((host) -> isUnchanged(host, omittableDigests) ? host.withoutStatus() : host)
					.toList());
	}

	private static boolean isUnchanged(HostSummary summary, Map<EntryHost, Integer> previousDigests) {
		Integer digest = previousDigests.get(summary.host());
		return digest != null && digest == summary.statusDigest();
	}

	private static Map<EntryHost, Integer> digests(PeerMessage.DomainSummary summary) {
		return summary.hosts()
			.stream()
			.collect(Collectors.toUnmodifiableMap(HostSummary::host, HostSummary::statusDigest));
	}

}
