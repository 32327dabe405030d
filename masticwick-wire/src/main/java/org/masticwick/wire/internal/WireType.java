package org.masticwick.wire.internal;

import java.io.IOException;

import org.msgpack.core.MessagePacker;

/**
 * Writes and reads the values of one type.
 *
 * @param <T> the type
 */
interface WireType<T> {

	/**
	 * Writes a value.
	 * @param out where to write
	 * @param value the value, not {@code null}
	 * @throws IOException if the value can't be written
	 */
	void write(MessagePacker out, T value) throws IOException;

	/**
	 * Reads a value.
	 * @param in where to read
	 * @return the value
	 * @throws IOException if the bytes are not such a value
	 */
	T read(BoundedUnpacker in) throws IOException;

}
