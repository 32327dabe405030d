package org.masticwick.core.process;

/**
 * The address of a TCP listener: IP address and port.
 *
 * @param ip the IP address as text
 * @param port the port, 1 to 65535
 */
public record HostAddress(String ip, int port) implements Comparable<HostAddress> {

	private static final int MAX_PORT = 65_535;

	/**
	 * Validates the components.
	 * @throws IllegalArgumentException if the IP address is blank or the port is out of
	 * range
	 */
	public HostAddress {
		if (ip == null || ip.isBlank() || port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("Not an address of the form ip:port: " + ip + ":" + port);
		}
	}

	/**
	 * Parses an address of the form {@code ip:port}.
	 * @param text the text
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static HostAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("Not an address of the form ip:port: " + text);
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
