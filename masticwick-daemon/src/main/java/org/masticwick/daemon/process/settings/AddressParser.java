package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads addresses of IP number and port, without asking any name service.
 */
final class AddressParser {

	private static final Pattern ADDRESS_PATTERN = Pattern
		.compile("((?:\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private AddressParser() {
	}

	/**
	 * Reads an address.
	 * @param text the text
	 * @param minPort the least port allowed
	 * @return the address, or empty if the text is no address
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
