package org.masticwick.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Tells which version of the site is in force on one entry host, as far as it is known.
 *
 * @param address the peer address of the host
 * @param incarnation the run of the process, or {@code null} if it was never heard of
 * @param versionNumber the version, 0 if none is known
 * @param logOffset the offset up to which the host has read the log
 * @param ageMillis how old the knowledge is, in milliseconds; -1 if there is none
 * @param state the state of the host
 */
public record HostVersionStatus(HostAddress address, Incarnation incarnation, long versionNumber, long logOffset,
		long ageMillis, State state) {

	/**
	 * Names the state of an entry host.
	 */
	public enum State {

		/** Takes requests. */
		READY("ready"),

		/** Has begun a planned stop. */
		LEAVING("leaving"),

		/** Does not take requests yet. */
		STARTING("starting"),

		/** Nothing recent is known of the host. */
		UNKNOWN("unknown");

		private final String text;

		State(String text) {
			this.text = text;
		}

		/**
		 * Returns the text for operators.
		 * @return the text, lower case
		 */
		public String text() {
			return this.text;
		}

	}

	static Map<String, List<HostVersionStatus>> byDomain(List<PeerView> views, List<ListedHost> unmet) {
		Map<String, List<HostVersionStatus>> result = new TreeMap<>();
		views.forEach((view) -> hosts(result, view.host().domain()).add(of(view)));
		unmet.forEach((host) -> hosts(result, host.domain()).add(neverHeardOf(host.address())));
		result.values().forEach((hosts) -> hosts.sort(Comparator.comparing(HostVersionStatus::address)));
		return result;
	}

	private static List<HostVersionStatus> hosts(Map<String, List<HostVersionStatus>> result, String domain) {
		return result.computeIfAbsent(domain, (key) -> new ArrayList<>());
	}

	private static HostVersionStatus of(PeerView view) {
		PeerStatus status = view.status();
		return new HostVersionStatus(view.host().peerAddress(), view.host().incarnation(), status.versionNumber(),
				status.logOffset(), view.ageMillis(), stateOf(view));
	}

	private static HostVersionStatus neverHeardOf(HostAddress address) {
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
