package org.masticwick.platform;

import java.util.Locale;

import org.masticwick.core.process.HostAddress;

/**
 * Is an entry of the platform's list of hosts, which lags behind reality.
 *
 * @param address where the host is reached; for entry hosts their peer address
 * @param role what the host does
 * @param domain the failure domain it stands in
 * @param state whether it stays
 */
public record PlatformHost(HostAddress address, Role role, String domain, State state) {

	/**
	 * Lists what a host can do.
	 */
	public enum Role {

		/** Runs an entry host process. */
		ENTRY,

		/** Runs tasks. */
		ENDPOINT;

		/**
		 * Returns the text that stands for this role on the wire.
		 * @return the text, lower case
		 */
		public String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/**
	 * Lists the states of a host.
	 */
	public enum State {

		/** The host takes work. */
		LIVE,

		/** The host is about to stop. */
		LEAVING;

		/**
		 * Returns the text that stands for this state on the wire.
		 * @return the text, lower case
		 */
		public String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
