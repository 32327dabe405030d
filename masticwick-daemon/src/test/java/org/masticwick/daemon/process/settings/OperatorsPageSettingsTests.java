package org.masticwick.daemon.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the operators page of the documentation lists each setting with its default.
 */
class OperatorsPageSettingsTests {

	private static final Pattern ROW = Pattern.compile("(?m)^\\| `(\\w+\\.\\w+)` \\| ([^|]+) \\|");

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

	private static Map<String, String> documentedDefaults() throws IOException {
		return ROW.matcher(Files.readString(Path.of("../docs/OPERATORS.md")))
			.results()
			.collect(Collectors.toMap((row) -> row.group(1), OperatorsPageSettingsTests::defaultOf));
	}

	private static String defaultOf(MatchResult row) {
		return row.group(2).strip().replace("`", "");
	}

	private static Map<String, JsonNode> effectiveSettings() {
		Settings settings = SettingsLoader.parse("[host]\ndomain = 'd1'\n[platform]\naddress = '127.0.0.1:1'\n", "f");
		JsonNode sections = MAPPER.valueToTree(settings);
		return sections.properties()
			.stream()
			.flatMap((section) -> section.getValue()
				.properties()
				.stream()
				.map((setting) -> Map.entry(section.getKey() + "." + setting.getKey().replaceFirst("_millis$", "_ms"),
						setting.getValue())))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	@Test
	void pageListsEverySetting() throws IOException {
		assertThat(documentedDefaults().keySet()).isEqualTo(effectiveSettings().keySet());
	}

	@Test
	void pageGivesDefaultOfEveryNumber() throws IOException {
		Map<String, String> documentedDefaults = documentedDefaults();
		assertThat(effectiveSettings()).allSatisfy((key, value) -> {
			if (value.isNumber()) {
				assertThat(documentedDefaults.get(key)).as(key).isEqualTo(value.asText());
			}
		});
	}

}
