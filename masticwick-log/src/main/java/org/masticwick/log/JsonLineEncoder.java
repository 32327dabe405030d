package org.masticwick.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Set;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes a log event as one line of JSON, with its key-value pairs as fields. A pair
 * whose key is the name of a built-in field gets an underscore appended to its key.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {

	private static final Set<String> RESERVED_FIELDS = Set.of("time", "level", "thread", "logger", "message", "error");

	private static final byte[] NO_BYTES = {};

	private final JsonFactory jsonFactory = new JsonFactory();

	@Override
	public byte[] headerBytes() {
		return NO_BYTES;
	}

	@Override
	public byte[] encode(ILoggingEvent event) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (JsonGenerator generator = this.jsonFactory.createGenerator(out)) {
			generator.writeStartObject();
			generator.writeStringField("time", event.getInstant().toString());
			generator.writeStringField("level", event.getLevel().toString());
			generator.writeStringField("thread", event.getThreadName());
			generator.writeStringField("logger", event.getLoggerName());
			generator.writeStringField("message", event.getFormattedMessage());
			writeKeyValuePairs(generator, event.getKeyValuePairs());
			if (event.getThrowableProxy() != null) {
				generator.writeStringField("error", ThrowableProxyUtil.asString(event.getThrowableProxy()));
			}
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		out.write('\n');
		return out.toByteArray();
	}

	private static void writeKeyValuePairs(JsonGenerator generator, List<KeyValuePair> keyValuePairs)
			throws IOException {
		if (keyValuePairs == null) {
			return;
		}
		for (KeyValuePair keyValuePair : keyValuePairs) {
			generator
				.writeFieldName(RESERVED_FIELDS.contains(keyValuePair.key) ? keyValuePair.key + "_" : keyValuePair.key);
			writeValue(generator, keyValuePair.value);
		}
	}

	private static void writeValue(JsonGenerator generator, Object value) throws IOException {
		if (value instanceof Integer || value instanceof Long) {
			generator.writeNumber(((Number) value).longValue());
		}
		else if (value instanceof Boolean flag) {
			generator.writeBoolean(flag);
		}
		else {
			generator.writeString(String.valueOf(value));
		}
	}

	@Override
	public byte[] footerBytes() {
		return NO_BYTES;
	}

}
