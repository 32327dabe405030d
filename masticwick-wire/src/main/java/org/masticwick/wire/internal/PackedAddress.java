package org.masticwick.wire.internal;

import java.nio.ByteBuffer;

import io.netty.util.NetUtil;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.MalformedMessageException;

/**
 * Turns addresses with an IPv4 number to six bytes and back.
 */
final class PackedAddress {

	private static final int IPV4_BYTES = 4;

	private static final int PACKED_BYTES = IPV4_BYTES + Short.BYTES;

	private static final byte[] NONE = {};

	private PackedAddress() {
	}

	/**
	 * Packs an address.
	 * @param address the address
	 * @return the bytes, or none if the address has no IPv4 number in its usual form
	 */
	static byte[] pack(HostAddress address) {
		byte[] ip = ipv4Bytes(address.ip());
		if (ip == null) {
			return NONE;
		}
		return ByteBuffer.allocate(PACKED_BYTES).put(ip).putShort((short) address.port()).array();
	}

	/**
	 * Unpacks an address.
	 * @param packed the bytes
	 * @return the address
	 */
	static HostAddress unpack(byte[] packed) {
		if (packed.length != PACKED_BYTES) {
			throw new MalformedMessageException("Not an address: " + packed.length + " bytes", null);
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
