package org.masticwick.cli.version;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link DrainChange}.
 */
class DrainChangeTests {

	private static SiteVersion version(String drainedDomains) {
		HostAddress first = new HostAddress("10.1.0.1", 80);
		HostAddress second = new HostAddress("10.1.0.2", 80);
		return new SiteVersion(7, Map.of("s", new ServiceSpec("s", Set.of(), true, 1_000)),
				Map.of(first, new EndpointSpec(first, "hobart", "r", "s", 8, 8, 8, 8, 0), second,
						new EndpointSpec(second, "derwent", "r", "s", 8, 8, 8, 8, 0)),
				new Rules((drainedDomains != null) ? Map.of(Rules.DRAINED_DOMAINS, drainedDomains) : Map.of()));
	}

	private static ReleaseNote.Builder note() {
		return ReleaseNote.builder("n", 7);
	}

	@Test
	void addsRuleForFirstDrainedDomain() {
		assertThat(new DrainChange("hobart", true).note("n", version(null)))
			.contains(note().addRule(Rules.DRAINED_DOMAINS, "hobart").build());
	}

	@Test
	void keepsOtherDrainedDomains() {
		assertThat(new DrainChange("hobart", true).note("n", version("derwent")))
			.contains(note().changeRule(Rules.DRAINED_DOMAINS, "derwent,hobart").build());
		assertThat(new DrainChange("hobart", false).note("n", version("hobart, derwent")))
			.contains(note().changeRule(Rules.DRAINED_DOMAINS, "derwent").build());
	}

	@Test
	void withdrawsRuleOfLastDrainedDomain() {
		assertThat(new DrainChange("hobart", false).note("n", version("hobart")))
			.contains(note().withdrawRule(Rules.DRAINED_DOMAINS).build());
	}

	@ParameterizedTest
	@CsvSource({ "true, 'hobart'", "true, 'derwent, hobart'", "false, ", "false, 'derwent'" })
	void needsNoNoteForChangeInForce(boolean drain, String drainedDomains) {
		assertThat(new DrainChange("hobart", drain).note("n", version(drainedDomains))).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@CsvSource({ "true, ", "false, ", "true, elsewhere" })
	void rejectsDomainWithoutCapacity(boolean drain, String drainedDomains) {
		assertThatExceptionOfType(UnknownDomainException.class)
			.isThrownBy(() -> new DrainChange("elsewhere", drain).note("n", version(drainedDomains)))
			.withMessage("No capacity of version 7 is in the failure domain elsewhere; "
					+ "it has capacities in derwent, hobart");
	}

	@Test
	void returnsDrainedDomainToServiceAfterItsCapacitiesWereWithdrawn() {
		assertThat(new DrainChange("elsewhere", false).note("n", version("elsewhere")))
			.contains(note().withdrawRule(Rules.DRAINED_DOMAINS).build());
	}

}
