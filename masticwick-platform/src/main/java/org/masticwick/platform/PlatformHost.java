package org.masticwick.platform;

import java.util.Locale;

import org.masticwick.core.process.HostAddress;

/**
 * An entry of the platform's list of hosts, which reflects changes with a delay.
 *
 * @param address the address of the host; for entry hosts, their peer address
 * @param role the role of the host
 * @param domain the failure domain of the host
 * @param state whether the host accepts work or is shutting down
 */
public record PlatformHost(HostAddress address, Role role, String domain, State state) {

	/**
	 * The roles of a host.
	 */
	public enum Role {

		/** Runs an entry host process. */
		ENTRY,

		/** Runs tasks. */
		ENDPOINT;

		/**
		 * Returns the text of this role on the wire.
		 * @return the text, lower case
		 */
		public String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/**
	 * The states of a host.
	 */
	public enum State {

		/** The host accepts work. */
		LIVE,

		/** The host is shutting down. */
		LEAVING;

		/**
		 * Returns the text of this state on the wire.
		 * @return the text, lower case
		 */
		public String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
