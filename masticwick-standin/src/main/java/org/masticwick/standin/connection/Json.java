package org.masticwick.standin.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamWriteFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.masticwick.core.process.ErrorCode;

/**
 * Reads and writes the JSON of the stand-ins, with names in snake case.
 */
public final class Json {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(StreamWriteFeature.AUTO_CLOSE_TARGET)
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return the JSON in UTF-8
	 * @throws StandinException if the value has no JSON form
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new StandinException(ErrorCode.INTERNAL, "Can't write JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Writes an object of objects of numbers piece by piece and leaves the target open.
	 * @param target where to write
	 * @param members visits the numbers of each member by name
	 * @throws StandinException if the target can't be written to
	 */
	public static void writeObject(OutputStream target, Map<String, Consumer<BiConsumer<String, Integer>>> members) {
		try (JsonGenerator generator = MAPPER.createGenerator(target)) {
			generator.writeStartObject();
			for (Map.Entry<String, Consumer<BiConsumer<String, Integer>>> member : members.entrySet()) {
				generator.writeObjectFieldStart(member.getKey());
				member.getValue().accept((name, number) -> writeNumber(generator, name, number));
				generator.writeEndObject();
			}
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new StandinException(ErrorCode.INTERNAL, "Can't write JSON: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Reads a value; a member that the type doesn't know is an error.
	 * @param <T> the type of the value
	 * @param text the JSON in UTF-8
	 * @param type the type of the value
	 * @return the value
	 * @throws StandinException if the text doesn't hold such a value, or if the type
	 * refuses it
	 */
	public static <T> T read(byte[] text, Class<T> type) {
		try {
			T value = MAPPER.readValue(text, type);
			if (value == null) {
				throw new StandinException(ErrorCode.MALFORMED_REQUEST, "The body is null");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			if (ex.getCause() instanceof StandinException refusal) {
				throw refusal;
			}
			throw new StandinException(ErrorCode.MALFORMED_REQUEST, ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new StandinException(ErrorCode.MALFORMED_REQUEST, ex.getMessage(), ex);
		}
	}

	private static void writeNumber(JsonGenerator generator, String name, int number) {
		try {
			generator.writeNumberField(name, number);
		}
		catch (IOException ex) {
			throw new StandinException(ErrorCode.INTERNAL, "Can't write JSON: " + ex.getMessage(), ex);
		}
	}

}
