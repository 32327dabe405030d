package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses of a literal IP address and a port. Host names are rejected, so no
 * name is ever resolved.
 */
final class AddressParser {

	private static final Pattern ADDRESS_PATTERN = Pattern
		.compile("((?:\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private AddressParser() {
	}

	/**
	 * Parses an address.
	 * @param text the text, such as {@code 127.0.0.1:80} or {@code [::1]:80}
	 * @param minPort the lowest allowed port; 0 where the system may choose a port
	 * @return the address, or empty if the text is not a valid address or its port is out
	 * of range
	 */
	static Optional<InetSocketAddress> parse(String text, int minPort) {
		Matcher matcher = ADDRESS_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		int port = Integer.parseInt(matcher.group(2));
		if (port < minPort || port > MAX_PORT) {
			return Optional.empty();
		}
		InetSocketAddress address = new InetSocketAddress(matcher.group(1), port);
		return address.isUnresolved() ? Optional.empty() : Optional.of(address);
	}

}
