package org.masticwick.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * The active version of the site on one entry host, as last reported by the host.
 *
 * @param address the peer address of the host
 * @param incarnation the incarnation of the host, or {@code null} if there was no contact
 * with the host
 * @param versionNumber the number of the active version, 0 if unknown
 * @param logOffset the offset up to which the host has read the log
 * @param ageMillis the age of the last report, in milliseconds; -1 if there is none
 * @param state the state of the host
 */
public record HostVersionStatus(HostAddress address, Incarnation incarnation, long versionNumber, long logOffset,
		long ageMillis, State state) {

	/**
	 * The state of an entry host, as operators see it.
	 */
	public enum State {

		/** Accepts requests of callers. */
		READY("ready"),

		/** Has begun a planned shutdown. */
		LEAVING("leaving"),

		/** Is running but does not accept requests yet. */
		STARTING("starting"),

		/** Has not reported its state, or its last report is too old. */
		UNKNOWN("unknown");

		private final String text;

		State(String text) {
			this.text = text;
		}

		/**
		 * Returns the text that operators see.
		 * @return the text, lower case
		 */
		public String text() {
			return this.text;
		}

	}

	static Map<String, List<HostVersionStatus>> byDomain(List<PeerView> views, List<ListedHost> uncontacted) {
		Map<String, List<HostVersionStatus>> hostsByDomain = new TreeMap<>();
		views.forEach((view) -> hostsOf(hostsByDomain, view.host().domain()).add(of(view)));
		uncontacted.forEach((host) -> hostsOf(hostsByDomain, host.domain()).add(withoutContact(host.address())));
		hostsByDomain.values().forEach((hosts) -> hosts.sort(Comparator.comparing(HostVersionStatus::address)));
		return hostsByDomain;
	}

	private static List<HostVersionStatus> hostsOf(Map<String, List<HostVersionStatus>> hostsByDomain, String domain) {
		return hostsByDomain.computeIfAbsent(domain, (key) -> new ArrayList<>());
	}

	private static HostVersionStatus of(PeerView view) {
		PeerStatus status = view.status();
		return new HostVersionStatus(view.host().peerAddress(), view.host().incarnation(), status.versionNumber(),
				status.logOffset(), view.ageMillis(), stateOf(view));
	}

	private static HostVersionStatus withoutContact(HostAddress address) {
		return new HostVersionStatus(address, null, 0, 0, -1, State.UNKNOWN);
	}

	private static State stateOf(PeerView view) {
		if (view.liveness() == Liveness.LOST || view.sequence() < 0) {
			return State.UNKNOWN;
		}
		if (view.status().leaving()) {
			return State.LEAVING;
		}
		return view.status().ready() ? State.READY : State.STARTING;
	}

}
