package org.masticwick.daemon.process.settings;

import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the example settings of both deployments are valid and name their failure
 * domain.
 */
class ExampleSettingsTests {

	@ParameterizedTest
	@CsvSource({ "cooperativa, quetzal-norte", "cooperativa, toto-centro", "cooperativa, solola-lago", "guild, hobart",
			"guild, launceston", "guild, devonport" })
	void areValid(String deployment, String domain) {
		Path file = Path.of("..", "examples", deployment, "settings", domain + ".toml");
		Settings settings = SettingsLoader.load(file);
		assertThat(settings.host().domain()).isEqualTo(domain);
		assertThat(settings.peers().seeds()).hasSize(2);
	}

}
