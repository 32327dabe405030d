package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePacker;

import org.masticwick.wire.MalformedMessageException;

/**
 * Wire types of basic values, lists, maps and enum constants.
 */
final class BasicTypes {

	static final WireType<Long> LONG = type(MessagePacker::packLong, BoundedUnpacker::readLong);

	static final WireType<Integer> INT = type(MessagePacker::packInt, BoundedUnpacker::readInt);

	/** Whole numbers from 0 to the largest int. */
	static final WireType<Integer> COUNT = type(MessagePacker::packInt, (in) -> checkNotNegative(in.readInt()));

	/** Whole numbers from 0 to the largest long. */
	static final WireType<Long> AMOUNT = type(MessagePacker::packLong, (in) -> checkNotNegative(in.readLong()));

	static final WireType<Boolean> BOOLEAN = type(MessagePacker::packBoolean, BoundedUnpacker::readBoolean);

	static final WireType<String> TEXT = type(MessagePacker::packString, BoundedUnpacker::readText);

	static final WireType<byte[]> BYTES = type(BasicTypes::writeBytes, BoundedUnpacker::readBytes);

	/** Limits the memory that a list reserves before its elements have been read. */
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

	static <T> WireType<List<T>> list(WireType<T> elementType) {
		return type((out, list) -> writeList(out, elementType, list), (in) -> readList(in, elementType));
	}

	static <K, V> WireType<Map<K, V>> map(WireType<K> keyType, WireType<V> valueType) {
		return type((out, map) -> writeMap(out, keyType, valueType, map), (in) -> readMap(in, keyType, valueType));
	}

	static <T extends Enum<T>> WireType<T> enumeration(T[] constants) {
		return type((out, constant) -> out.packInt(constant.ordinal()), (in) -> constantAt(constants, in.readInt()));
	}

	private static <T> T constantAt(T[] constants, int ordinal) {
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new MalformedMessageException("Unknown enum ordinal: " + ordinal, null);
		}
		return constants[ordinal];
	}

	private static <N extends Number> N checkNotNegative(N number) {
		if (number.longValue() < 0) {
			throw new MalformedMessageException("Negative number: " + number, null);
		}
		return number;
	}

	private static void writeBytes(MessagePacker out, byte[] value) throws IOException {
		out.packBinaryHeader(value.length);
		out.writePayload(value);
	}

	private static <T> void writeList(MessagePacker out, WireType<T> elementType, List<T> list) throws IOException {
		out.packArrayHeader(list.size());
		for (T value : list) {
			elementType.write(out, value);
		}
	}

	private static <T> List<T> readList(BoundedUnpacker in, WireType<T> elementType) throws IOException {
		int count = in.readArrayHeader();
		List<T> list = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
		for (int index = 0; index < count; index++) {
			list.add(elementType.read(in));
		}
		return list;
	}

	private static <K, V> void writeMap(MessagePacker out, WireType<K> keyType, WireType<V> valueType, Map<K, V> map)
			throws IOException {
		out.packMapHeader(map.size());
		for (Map.Entry<K, V> entry : map.entrySet()) {
			keyType.write(out, entry.getKey());
			valueType.write(out, entry.getValue());
		}
	}

	private static <K, V> Map<K, V> readMap(BoundedUnpacker in, WireType<K> keyType, WireType<V> valueType)
			throws IOException {
		int count = in.readMapHeader();
		Map<K, V> map = new LinkedHashMap<>();
		for (int index = 0; index < count; index++) {
			map.put(keyType.read(in), valueType.read(in));
		}
		return map;
	}

	/**
	 * Writes the values of a type as MessagePack.
	 *
	 * @param <T> the type
	 */
	@FunctionalInterface
	interface Writer<T> {

		void write(MessagePacker out, T value) throws IOException;

	}

	/**
	 * Reads the values of a type from MessagePack.
	 *
	 * @param <T> the type
	 */
	@FunctionalInterface
	interface Reader<T> {

		T read(BoundedUnpacker in) throws IOException;

	}

}
