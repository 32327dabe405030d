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
 * Reads and writes the JSON of the stand-ins. Names of members are in snake case.
 */
public final class Json {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(StreamWriteFeature.AUTO_CLOSE_TARGET)
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private Json() {
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the JSON in UTF-8
	 * @throws StandinException if the value can't be represented as JSON
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new StandinException(ErrorCode.INTERNAL,
					"The value can't be written as JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Streams a JSON object whose members are objects with numbers as members, so that a
	 * large one is never held in memory.
	 * @param target the stream to write to, left open
	 * @param members for each member of the outer object a function that passes the names
	 * and numbers of the inner object to a visitor
	 * @throws StandinException if writing to the stream fails
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
			throw new StandinException(ErrorCode.INTERNAL, "Writing JSON to the stream failed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Parses a JSON value. A member that is not a component of the type is an error.
	 * @param <T> the type of the value
	 * @param json the JSON in UTF-8
	 * @param type the type of the value
	 * @return the value
	 * @throws StandinException if the JSON is malformed, {@code null} or not of this
	 * type, or if the constructor of the type rejects it
	 */
	public static <T> T read(byte[] json, Class<T> type) {
		try {
			T value = MAPPER.readValue(json, type);
			if (value == null) {
				throw new StandinException(ErrorCode.MALFORMED_REQUEST, "The JSON is null, but a value is required");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			if (ex.getCause() instanceof StandinException rejection) {
				throw rejection;
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
			throw new StandinException(ErrorCode.INTERNAL, "Writing JSON to the stream failed: " + ex.getMessage(), ex);
		}
	}

}
