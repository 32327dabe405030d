package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePacker;
import org.msgpack.value.ValueType;

import org.masticwick.wire.MalformedMessageException;

/**
 * Writes a record as a map from the numbers of its fields to their values. Fields with
 * their default value are left out; fields with unknown numbers are passed over, so that
 * a newer peer may add some.
 *
 * @param <R> the type of the record
 */
final class RecordType<R> implements WireType<R> {

	private final Function<FieldValues, R> constructor;

	private final List<Field<R, ?>> fields;

	@SafeVarargs
	RecordType(Function<FieldValues, R> constructor, Field<R, ?>... fields) {
		this.constructor = constructor;
		List<Field<R, ?>> copy = new ArrayList<>();
		for (Field<R, ?> field : fields) {
			copy.add(field);
		}
		this.fields = List.copyOf(copy);
	}

	/**
	 * Creates a field that must be there.
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type
	 * @param getter reads the field of a record
	 * @return the field
	 */
	static <R, V> Field<R, V> required(WireType<V> type, Function<R, V> getter) {
		return new Field<>(type, getter, null, true);
	}

	/**
	 * Creates a field that is left out when it has its default value.
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type
	 * @param getter reads the field of a record
	 * @param defaultValue the default, which may be {@code null}
	 * @return the field
	 */
	static <R, V> Field<R, V> optional(WireType<V> type, Function<R, V> getter, V defaultValue) {
		return new Field<>(type, getter, defaultValue, false);
	}

	@Override
	public void write(MessagePacker out, R value) throws IOException {
		out.packMapHeader((int) this.fields.stream().filter((field) -> field.isWritten(value)).count());
		for (int number = 0; number < this.fields.size(); number++) {
			this.fields.get(number).write(out, number, value);
		}
	}

	@Override
	public R read(BoundedUnpacker in) throws IOException {
		Object[] values = this.fields.stream().map(Field::defaultValue).toArray();
		boolean[] present = new boolean[values.length];
		int count = in.readMapHeader();
		for (int index = 0; index < count; index++) {
			readField(in, values, present);
		}
		checkRequired(present);
		return this.constructor.apply(new FieldValues(values));
	}

	private void readField(BoundedUnpacker in, Object[] values, boolean[] present) throws IOException {
		int number = readNumber(in);
		if (number < 0 || number >= values.length) {
			in.skip();
			return;
		}
		values[number] = this.fields.get(number).type().read(in);
		present[number] = true;
	}

	private static int readNumber(BoundedUnpacker in) throws IOException {
		MessageFormat format = in.nextFormat();
		if (format.getValueType() != ValueType.INTEGER) {
			in.skip();
			return -1;
		}
		return in.readInt();
	}

	private void checkRequired(boolean[] present) {
		for (int number = 0; number < present.length; number++) {
			if (!present[number] && this.fields.get(number).required()) {
				throw new MalformedMessageException("Field " + number + " is missing", null);
			}
		}
	}

	/**
	 * Describes one field; its number is its place in the record.
	 *
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type
	 * @param getter reads the field of a record
	 * @param defaultValue what stands for a field that is left out
	 * @param required whether the field must be there
	 */
	record Field<R, V>(WireType<V> type, Function<R, V> getter, V defaultValue, boolean required) {

		boolean isWritten(R value) {
			return this.required || !Objects.equals(this.getter.apply(value), this.defaultValue);
		}

		void write(MessagePacker out, int number, R value) throws IOException {
			if (isWritten(value)) {
				out.packInt(number);
				this.type.write(out, this.getter.apply(value));
			}
		}

	}

	/**
	 * Holds the values of the fields that were read.
	 *
	 * @param values the values by number
	 */
	record FieldValues(Object[] values) {

		@SuppressWarnings("unchecked")
		<V> V get(int number) {
			return (V) this.values[number];
		}

		@Override
		public String toString() {
			return Arrays.toString(this.values);
		}

	}

}
