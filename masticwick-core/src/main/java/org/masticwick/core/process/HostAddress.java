package org.masticwick.core.process;

/**
 * Identifies a TCP listener by IP number and port.
 *
 * @param ip the IP number in text
 * @param port the port, 1 to 65535
 */
public record HostAddress(String ip, int port) implements Comparable<HostAddress> {

	private static final int MAX_PORT = 65_535;

	/**
	 * Checks the parts.
	 * @throws IllegalArgumentException if a part is out of bounds
	 */
	public HostAddress {
		if (ip == null || ip.isBlank() || port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("Not an address: " + ip + ":" + port);
		}
	}

	/**
	 * Reads {@code ip:port}.
	 * @param text the text
	 * @return the address
	 * @throws IllegalArgumentException if the text is not an address
	 */
	public static HostAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("Not an address: " + text);
		}
		return new HostAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	@Override
	public int compareTo(HostAddress other) {
		int byIp = this.ip.compareTo(other.ip);
		return (byIp != 0) ? byIp : Integer.compare(this.port, other.port);
	}

	@Override
	public String toString() {
		return this.ip + ":" + this.port;
	}

}
