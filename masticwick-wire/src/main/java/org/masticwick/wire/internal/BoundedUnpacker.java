package org.masticwick.wire.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import org.masticwick.wire.MalformedMessageException;

/**
 * Reads MessagePack from untrusted bytes. Rejects each declared length or element count
 * that exceeds the remaining bytes, before memory is allocated for it.
 */
final class BoundedUnpacker {

	/** Maximum number of elements of an array or entries of a map. */
	private static final int MAX_ELEMENT_COUNT = 262_144;

	private final MessageUnpacker unpacker;

	private final int totalBytes;

	BoundedUnpacker(byte[] bytes, int fromIndex, int lengthBytes) {
		this.unpacker = MessagePack.newDefaultUnpacker(bytes, fromIndex, lengthBytes);
		this.totalBytes = lengthBytes;
	}

	long readLong() throws IOException {
		return this.unpacker.unpackLong();
	}

	int readInt() throws IOException {
		return this.unpacker.unpackInt();
	}

	boolean readBoolean() throws IOException {
		return this.unpacker.unpackBoolean();
	}

	String readText() throws IOException {
		int lengthBytes = checkRemaining(this.unpacker.unpackRawStringHeader());
		return new String(this.unpacker.readPayload(lengthBytes), StandardCharsets.UTF_8);
	}

	byte[] readBytes() throws IOException {
		int lengthBytes = checkRemaining(this.unpacker.unpackBinaryHeader());
		return this.unpacker.readPayload(lengthBytes);
	}

	int readArrayHeader() throws IOException {
		return checkCount(this.unpacker.unpackArrayHeader());
	}

	int readMapHeader() throws IOException {
		return checkCount(this.unpacker.unpackMapHeader());
	}

	MessageFormat nextFormat() throws IOException {
		return this.unpacker.getNextFormat();
	}

	void skip() throws IOException {
		this.unpacker.skipValue();
	}

	private int checkCount(int count) {
		if (count > MAX_ELEMENT_COUNT) {
			throw new MalformedMessageException("Array or map has too many elements: " + count, null);
		}
		return checkRemaining(count);
	}

	private int checkRemaining(int lengthOrCount) {
		long remainingBytes = this.totalBytes - this.unpacker.getTotalReadBytes();
		if (lengthOrCount < 0 || lengthOrCount > remainingBytes) {
			throw new MalformedMessageException(
					"Length " + lengthOrCount + " exceeds the remaining bytes of the message", null);
		}
		return lengthOrCount;
	}

}
