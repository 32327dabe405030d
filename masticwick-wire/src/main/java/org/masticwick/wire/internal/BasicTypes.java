package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePacker;

import org.masticwick.wire.MalformedMessageException;

/**
 * Types that records are made of.
 */
final class BasicTypes {

	static final WireType<Long> LONG = type(MessagePacker::packLong, BoundedUnpacker::readLong);

	static final WireType<Integer> INT = type(MessagePacker::packInt, BoundedUnpacker::readInt);

	static final WireType<Boolean> BOOLEAN = type(MessagePacker::packBoolean, BoundedUnpacker::readBoolean);

	static final WireType<String> TEXT = type(MessagePacker::packString, BoundedUnpacker::readText);

	static final WireType<byte[]> BYTES = type(BasicTypes::writeBytes, BoundedUnpacker::readBytes);

	private static final int MAX_INITIAL_CAPACITY = 256;

	private BasicTypes() {
	}

	static <T> WireType<T> type(Writer<T> writer, Reader<T> reader) {
		return new WireType<>() {

			@Override
			public void write(MessagePacker out, T value) throws IOException {
				writer.write(out, value);
			}

			@Override
			public T read(BoundedUnpacker in) throws IOException {
				return reader.read(in);
			}

		};
	}

	static <T> WireType<List<T>> list(WireType<T> element) {
		return type((out, list) -> writeList(out, element, list), (in) -> readList(in, element));
	}

	static <K, V> WireType<Map<K, V>> map(WireType<K> key, WireType<V> value) {
		return type((out, map) -> writeMap(out, key, value, map), (in) -> readMap(in, key, value));
	}

	static <T extends Enum<T>> WireType<T> enumeration(T[] constants) {
		return type((out, constant) -> out.packInt(constant.ordinal()), (in) -> constant(constants, in.readInt()));
	}

	private static <T> T constant(T[] constants, int ordinal) {
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new MalformedMessageException("No such constant: " + ordinal, null);
		}
		return constants[ordinal];
	}

	private static void writeBytes(MessagePacker out, byte[] value) throws IOException {
		out.packBinaryHeader(value.length);
		out.writePayload(value);
	}

	private static <T> void writeList(MessagePacker out, WireType<T> element, List<T> list) throws IOException {
		out.packArrayHeader(list.size());
		for (T value : list) {
			element.write(out, value);
		}
	}

	private static <T> List<T> readList(BoundedUnpacker in, WireType<T> element) throws IOException {
		int count = in.readArrayHeader();
		List<T> list = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
		for (int index = 0; index < count; index++) {
			list.add(element.read(in));
		}
		return list;
	}

	private static <K, V> void writeMap(MessagePacker out, WireType<K> key, WireType<V> value, Map<K, V> map)
			throws IOException {
		out.packMapHeader(map.size());
		for (Map.Entry<K, V> entry : map.entrySet()) {
			key.write(out, entry.getKey());
			value.write(out, entry.getValue());
		}
	}

	private static <K, V> Map<K, V> readMap(BoundedUnpacker in, WireType<K> key, WireType<V> value) throws IOException {
		int count = in.readMapHeader();
		Map<K, V> map = new LinkedHashMap<>();
		for (int index = 0; index < count; index++) {
			map.put(key.read(in), value.read(in));
		}
		return map;
	}

	/**
	 * Writes a value.
	 *
	 * @param <T> the type
	 */
	@FunctionalInterface
	interface Writer<T> {

		void write(MessagePacker out, T value) throws IOException;

	}

	/**
	 * Reads a value.
	 *
	 * @param <T> the type
	 */
	@FunctionalInterface
	interface Reader<T> {

		T read(BoundedUnpacker in) throws IOException;

	}

}
