package org.masticwick.fleet.process;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OwnerCapacity}.
 */
class OwnerCapacityTests {

	@ParameterizedTest(name = "{0} endpoints, {1} millicores: {2}")
	@CsvSource({ "0, 1500, false", "1, 1500, true", "33, 750, true", "33, 360, true", "33, 120, false",
			"245, 1500, false", "260, 1500, false", "260, 3000, true" })
	void dependsOnTheHost(int endpointCount, int hostMillicores, boolean expected) {
		assertThat(OwnerCapacity.canOwn(endpointCount, hostMillicores)).isEqualTo(expected);
	}

}
