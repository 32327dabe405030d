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
 * Encodes a record as a map from field numbers to values. Fields with their default value
 * are omitted, and unknown field numbers are ignored, so that a newer version can add
 * fields.
 *
 * @param <R> the type of the record
 */
final class RecordType<R> implements WireType<R> {

	private final Function<FieldValues, R> factory;

	private final List<Field<R, ?>> fields;

	@SafeVarargs
	RecordType(Function<FieldValues, R> factory, Field<R, ?>... fields) {
		this.factory = factory;
		List<Field<R, ?>> copy = new ArrayList<>();
		for (Field<R, ?> field : fields) {
			copy.add(field);
		}
		this.fields = List.copyOf(copy);
	}

	/**
	 * Creates a field that is always encoded and must be present when decoding.
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type of the field
	 * @param getter returns the value of the field from a record
	 * @return the field
	 */
	static <R, V> Field<R, V> required(WireType<V> type, Function<R, V> getter) {
		return new Field<>(type, getter, null, true);
	}

	/**
	 * Creates a field that is omitted if it has its default value.
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type of the field
	 * @param getter returns the value of the field from a record
	 * @param defaultValue the default value, which may be {@code null}
	 * @return the field
	 */
	static <R, V> Field<R, V> optional(WireType<V> type, Function<R, V> getter, V defaultValue) {
		return new Field<>(type, getter, defaultValue, false);
	}

	@Override
	public void write(MessagePacker out, R value) throws IOException {
		out.packMapHeader((int) this.fields.stream().filter((field) -> field.isWritten(value)).count());
		for (int fieldNumber = 0; fieldNumber < this.fields.size(); fieldNumber++) {
			this.fields.get(fieldNumber).write(out, fieldNumber, value);
		}
	}

	@Override
	public R read(BoundedUnpacker in) throws IOException {
		Object[] values = this.fields.stream().map(Field::defaultValue).toArray();
		boolean[] fieldsRead = new boolean[values.length];
		int count = in.readMapHeader();
		for (int index = 0; index < count; index++) {
			readField(in, values, fieldsRead);
		}
		checkRequired(fieldsRead);
		return this.factory.apply(new FieldValues(values));
	}

	private void readField(BoundedUnpacker in, Object[] values, boolean[] fieldsRead) throws IOException {
		int fieldNumber = readFieldNumber(in);
		if (fieldNumber < 0 || fieldNumber >= values.length) {
			in.skip();
			return;
		}
		values[fieldNumber] = this.fields.get(fieldNumber).type().read(in);
		fieldsRead[fieldNumber] = true;
	}

	private static int readFieldNumber(BoundedUnpacker in) throws IOException {
		MessageFormat format = in.nextFormat();
		if (format.getValueType() != ValueType.INTEGER) {
			in.skip();
			// No field has this number, so the caller skips the value as well.
			return -1;
		}
		return in.readInt();
	}

	private void checkRequired(boolean[] fieldsRead) {
		for (int fieldNumber = 0; fieldNumber < fieldsRead.length; fieldNumber++) {
			if (!fieldsRead[fieldNumber] && this.fields.get(fieldNumber).required()) {
				throw new MalformedMessageException("Required field " + fieldNumber + " is missing", null);
			}
		}
	}

	/**
	 * Field of a record. Its number is its position in the list of fields.
	 *
	 * @param <R> the type of the record
	 * @param <V> the type of the field
	 * @param type the type of the field
	 * @param getter returns the value of the field from a record
	 * @param defaultValue the value of an omitted field
	 * @param required whether the field must be present
	 */
	record Field<R, V>(WireType<V> type, Function<R, V> getter, V defaultValue, boolean required) {

		boolean isWritten(R value) {
			return this.required || !Objects.equals(this.getter.apply(value), this.defaultValue);
		}

		void write(MessagePacker out, int fieldNumber, R value) throws IOException {
			if (isWritten(value)) {
				out.packInt(fieldNumber);
				this.type.write(out, this.getter.apply(value));
			}
		}

	}

	/**
	 * Values of the fields of a decoded record.
	 *
	 * @param values the values by field number
	 */
	record FieldValues(Object[] values) {

		@SuppressWarnings("unchecked")
		<V> V get(int fieldNumber) {
			return (V) this.values[fieldNumber];
		}

		@Override
		public String toString() {
			return Arrays.toString(this.values);
		}

	}

}
