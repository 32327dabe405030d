package org.masticwick.core.version;

import java.util.stream.Stream;

import org.junit.jupiter.params.provider.Arguments;

import org.masticwick.core.process.HostAddress;

/**
 * Provides the cases of {@link AcceptanceTests}.
 */
final class AcceptanceCases {

	private AcceptanceCases() {
	}

	static Stream<Arguments> rejected() {
		HostAddress unknownAddress = new HostAddress("127.0.0.1", 9002);
		return Stream.of(
				Arguments.of(ReleaseNote.builder("c", 1).change(SiteFixtures.service("fitting", 3_000)).build(),
						"conflict: service:fitting was changed in version 2, after base 1"),
				Arguments.of(ReleaseNote.builder("c", 1).withdrawService("fitting").build(), "conflict"),
				Arguments.of(ReleaseNote.builder("c", 3).addRule("limits/queue", "9").build(),
						"base 3 is not a version"),
				Arguments.of(ReleaseNote.builder("c", -1).addRule("limits/queue", "9").build(),
						"base -1 is not a version"),
				Arguments.of(ReleaseNote.builder("c", 2).add(SiteFixtures.service("fitting")).build(),
						"service:fitting exists already"),
				Arguments.of(ReleaseNote.builder("c", 2).add(SiteFixtures.endpoint(9001, "fitting")).build(),
						"capacity:127.0.0.1:9001 exists already"),
				Arguments.of(ReleaseNote.builder("c", 2).change(SiteFixtures.service("other")).build(),
						"service:other does not exist"),
				Arguments.of(ReleaseNote.builder("c", 2).withdrawCapacity(unknownAddress).build(), "does not exist"),
				Arguments.of(ReleaseNote.builder("c", 2).changeRule("limits/queue", "9").build(), "does not exist"),
				Arguments.of(ReleaseNote.builder("c", 2).add(SiteFixtures.endpoint(9002, "other")).build(),
						"names the service other, which does not exist"),
				Arguments.of(ReleaseNote.builder("c", 2).withdrawService("fitting").build(),
						"names the service fitting, which does not exist"),
				Arguments.of(ReleaseNote.builder("c", 2).changeRule(Rules.WEIGHTING, "speed").build(), "speed"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule(Rules.PLACEMENT, "Best!").build(), "Best!"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule("dispatch/spill-wait-ms", "-1").build(), "spill-wait"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule("team-share/a", "0").build(), "team-share/a"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule("team-share/a", "-1").build(), "team-share/a"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule("limits/queue", "many").build(), "limits/queue"),
				Arguments.of(ReleaseNote.builder("c", 2).addRule("limits/a", "1").withdrawRule("limits/a").build(),
						"listed twice"),
				Arguments.of(ReleaseNote.builder("c", 2).build(), "changes nothing"));
	}

	static Stream<Arguments> accepted() {
		return Stream.of(
				Arguments.of(ReleaseNote.builder("a", 2).change(SiteFixtures.service("fitting", 3_000)).build(),
						"change against the latest version"),
				Arguments.of(ReleaseNote.builder("a", 1).changeRule(Rules.WEIGHTING, "response-time").build(),
						"older base, another entity"),
				Arguments.of(ReleaseNote.builder("a", 0).addRule("team-share/a", "0.5").build(), "base 0"),
				Arguments.of(ReleaseNote.builder("a", 2)
					.withdrawService("fitting")
					.withdrawCapacity(new HostAddress("127.0.0.1", 9001))
					.build(), "service and its capacity together"),
				Arguments.of(ReleaseNote.builder("a", 2).addRule("later/rule", "any").build(),
						"rule of a later release"),
				Arguments.of(ReleaseNote.builder("a", 2).addRule("dispatch/drained-domains", "hobart").build(),
						"drained domain"),
				Arguments.of(ReleaseNote.builder("a", 2).addRule("dispatch/drained-domains", ", -").build(),
						"drained domains that earlier releases accept unchecked"));
	}

}
