package org.masticwick.wire.internal;

import java.io.IOException;

import org.msgpack.core.MessagePacker;

/**
 * Encodes and decodes the values of a type.
 *
 * @param <T> the type
 */
interface WireType<T> {

	/**
	 * Writes a value.
	 * @param out the packer that receives the value
	 * @param value the value, not {@code null}
	 * @throws IOException if the value can't be encoded
	 */
	void write(MessagePacker out, T value) throws IOException;

	/**
	 * Reads a value.
	 * @param in the unpacker that supplies the value
	 * @return the value
	 * @throws IOException if the bytes do not encode a value of this type
	 */
	T read(BoundedUnpacker in) throws IOException;

}
