package org.masticwick.wire.internal;

import java.nio.ByteBuffer;

import io.netty.util.NetUtil;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.MalformedMessageException;

/**
 * Converts addresses with an IPv4 address to six bytes (IPv4 address, then port) and
 * back.
 */
final class PackedAddress {

	private static final int IPV4_BYTES = 4;

	private static final int PACKED_BYTES = IPV4_BYTES + Short.BYTES;

	private static final byte[] EMPTY = {};

	private PackedAddress() {
	}

	/**
	 * Packs an address.
	 * @param address the address
	 * @return the bytes, or an empty array if the IP address is not an IPv4 address in
	 * canonical dotted form
	 */
	static byte[] pack(HostAddress address) {
		byte[] ipv4 = ipv4Bytes(address.ip());
		if (ipv4 == null) {
			return EMPTY;
		}
		return ByteBuffer.allocate(PACKED_BYTES).put(ipv4).putShort((short) address.port()).array();
	}

	/**
	 * Unpacks an address.
	 * @param packed the bytes
	 * @return the address
	 * @throws MalformedMessageException if the number of bytes is wrong
	 */
	static HostAddress unpack(byte[] packed) {
		if (packed.length != PACKED_BYTES) {
			throw new MalformedMessageException("Invalid length of a packed address: " + packed.length + " bytes",
					null);
		}
		int port = Short.toUnsignedInt(ByteBuffer.wrap(packed).getShort(IPV4_BYTES));
		return new HostAddress(NetUtil.bytesToIpAddress(packed, 0, IPV4_BYTES), port);
	}

	private static byte[] ipv4Bytes(String ip) {
		if (!NetUtil.isValidIpV4Address(ip)) {
			return null;
		}
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ip);
		return NetUtil.bytesToIpAddress(bytes).equals(ip) ? bytes : null;
	}

}
