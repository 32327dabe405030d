package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Reads the values of one section of a settings file and reports invalid ones. An invalid
 * value is replaced by its default, or by a placeholder if it has none, so that the rest
 * of the file can be checked too.
 */
final class SectionReader {

	private static final String MISSING_VALUE = "(missing)";

	private static final String ADDRESS_FORMAT = "an address \"ip:port\"";

	private final String file;

	private final String section;

	private final JsonNode sectionNode;

	private final Consumer<SettingsProblem> problemConsumer;

	private final Set<String> knownKeys = new LinkedHashSet<>();

	SectionReader(String file, String section, JsonNode sectionNode, Consumer<SettingsProblem> problemConsumer) {
		this.file = file;
		this.section = section;
		this.sectionNode = sectionNode;
		this.problemConsumer = problemConsumer;
	}

	long milliseconds(String key, long defaultValue, long min, long max) {
		return integer(key, defaultValue, min, max, "milliseconds");
	}

	int bytes(String key, int defaultValue, int min, int max) {
		return (int) integer(key, defaultValue, min, max, "bytes");
	}

	long bytes(String key, long defaultValue, long min, long max) {
		return integer(key, defaultValue, min, max, "bytes");
	}

	int count(String key, int defaultValue, int min, int max) {
		return (int) integer(key, defaultValue, min, max, "");
	}

	double fraction(String key, double defaultValue) {
		String allowed = "a number, 0.0 to 1.0";
		JsonNode value = markKnownAndGet(key);
		if (value == null) {
			return defaultValue;
		}
		if (!value.isNumber() || !(value.doubleValue() >= 0.0 && value.doubleValue() <= 1.0)) {
			reportProblem(key, value.toString(), allowed);
			return defaultValue;
		}
		return value.doubleValue();
	}

	String text(String key, String defaultValue, Pattern pattern, String allowed) {
		JsonNode value = markKnownAndGet(key);
		if (value == null) {
			return defaultOrReportMissing(key, defaultValue, allowed, "");
		}
		if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
			reportProblem(key, value.toString(), allowed);
			return (defaultValue != null) ? defaultValue : "";
		}
		return value.textValue();
	}

	String choice(String key, String defaultValue, List<String> choices) {
		String allowed = "one of " + String.join(", ", choices);
		String pattern = String.join("|", choices);
		return text(key, defaultValue, Pattern.compile(pattern), allowed).toLowerCase(Locale.ROOT);
	}

	InetSocketAddress listenAddress(String key, String defaultValue) {
		String allowed = ADDRESS_FORMAT + ", port 0 to 65535";
		JsonNode value = markKnownAndGet(key);
		InetSocketAddress fallback = AddressParser.parse(defaultValue, 0).orElseThrow();
		if (value == null) {
			return fallback;
		}
		Optional<InetSocketAddress> address = AddressParser.parse(value.asText(), 0);
		if (address.isEmpty()) {
			reportProblem(key, value.toString(), allowed);
		}
		return address.orElse(fallback);
	}

	HostAddress optionalAddress(String key) {
		JsonNode value = markKnownAndGet(key);
		return (value != null) ? hostAddress(key, value).orElse(null) : null;
	}

	HostAddress requiredAddress(String key) {
		HostAddress placeholder = new HostAddress("0.0.0.0", 1);
		JsonNode value = markKnownAndGet(key);
		if (value == null) {
			return defaultOrReportMissing(key, null, ADDRESS_FORMAT + ", port 1 to 65535", placeholder);
		}
		return hostAddress(key, value).orElse(placeholder);
	}

	List<HostAddress> addresses(String key) {
		JsonNode value = markKnownAndGet(key);
		if (value == null) {
			return List.of();
		}
		if (!value.isArray()) {
			reportProblem(key, value.toString(), "a list, each " + ADDRESS_FORMAT);
			return List.of();
		}
		List<HostAddress> addresses = new ArrayList<>();
		for (int index = 0; index < value.size(); index++) {
			hostAddress(key + "[" + index + "]", value.get(index)).ifPresent(addresses::add);
		}
		return addresses;
	}

	/**
	 * Reports every key of the section that has not been read, which is unknown.
	 */
	void reportUnknownKeys() {
		this.sectionNode.fieldNames().forEachRemaining((key) -> {
			if (!this.knownKeys.contains(key)) {
				reportProblem(key, this.sectionNode.get(key).toString(), describeUnknownKey(key, this.knownKeys));
			}
		});
	}

	/**
	 * Reports an invalid value.
	 * @param key the key within the section
	 * @param value the value found
	 * @param allowed describes the allowed values
	 */
	void reportProblem(String key, String value, String allowed) {
		this.problemConsumer.accept(new SettingsProblem(this.file, this.section + "." + key, value, allowed));
	}

	/**
	 * Describes the keys that are allowed in place of an unknown one, with the nearest
	 * key as a suggestion.
	 * @param key the unknown key
	 * @param knownKeys the known keys
	 * @return the text for a settings problem
	 */
	static String describeUnknownKey(String key, Set<String> knownKeys) {
		String hint = NearestKey.find(key, knownKeys).map((nearestKey) -> "; nearest is " + nearestKey).orElse("");
		return "unknown key" + hint + "; known keys: " + String.join(", ", knownKeys);
	}

	private long integer(String key, long defaultValue, long min, long max, String unit) {
		String typeName = unit.isEmpty() ? "a whole number" : "a whole number of " + unit;
		String allowed = typeName + ", " + min + " to " + max;
		JsonNode value = markKnownAndGet(key);
		if (value == null) {
			return defaultValue;
		}
		boolean fits = value.isIntegralNumber() && value.canConvertToLong();
		if (!fits || value.longValue() < min || value.longValue() > max) {
			reportProblem(key, value.toString(), allowed);
			return defaultValue;
		}
		return value.longValue();
	}

	private Optional<HostAddress> hostAddress(String key, JsonNode value) {
		Optional<HostAddress> address = AddressParser.parse(value.asText(), 1)
			.map((parsed) -> HostAddress.parse(value.asText()));
		if (address.isEmpty()) {
			reportProblem(key, value.toString(), ADDRESS_FORMAT + ", port 1 to 65535");
		}
		return address;
	}

	private <T> T defaultOrReportMissing(String key, T defaultValue, String allowed, T placeholder) {
		if (defaultValue != null) {
			return defaultValue;
		}
		reportProblem(key, MISSING_VALUE, allowed);
		return placeholder;
	}

	private JsonNode markKnownAndGet(String key) {
		this.knownKeys.add(key);
		return this.sectionNode.get(key);
	}

}
