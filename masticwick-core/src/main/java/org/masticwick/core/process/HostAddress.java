package org.masticwick.core.process;

import java.util.regex.Pattern;

/**
 * The address of a TCP listener: IP address and port.
 *
 * @param ip the IP address as text
 * @param port the port, 1 to 65535
 */
public record HostAddress(String ip, int port) implements Comparable<HostAddress> {

	private static final int MAX_PORT = 65_535;

	private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

	private static final Pattern IPV4_ADDRESS = Pattern.compile(OCTET + "(?:\\." + OCTET + "){3}");

	private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");

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

	/**
	 * Parses an address with a numeric IPv4 address. Received addresses are parsed by
	 * this method, because connecting to a host name would look it up on an event loop.
	 * @param text the text, of the form {@code ip:port} with decimal digits only
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static HostAddress parseIpv4(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1 || !PORT.matcher(text.substring(colon + 1)).matches()) {
			throw new IllegalArgumentException("Not an address of the form ip:port: " + text);
		}
		HostAddress address = parse(text);
		if (!address.hasNumericIp()) {
			throw new IllegalArgumentException("Not a numeric IPv4 address: " + text);
		}
		return address;
	}

	/**
	 * Returns whether the IP address is an IPv4 address in canonical decimal form.
	 * @return {@code false} for a host name or an IPv6 address
	 */
	public boolean hasNumericIp() {
		return IPV4_ADDRESS.matcher(this.ip).matches();
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
