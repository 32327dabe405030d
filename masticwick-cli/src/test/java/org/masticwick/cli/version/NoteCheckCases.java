package org.masticwick.cli.version;

import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.params.provider.Arguments;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.Acceptance;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Provides the cases of {@link NoteCheckTests}.
 */
final class NoteCheckCases {

	static final ServiceSpec FITTING = new ServiceSpec("fitting", Set.of(), true, 1_000);

	/**
	 * The state of version 2: one service with an endpoint in each of two domains, and a
	 * rule that version 2 added.
	 */
	static final SiteState STATE = accept(accept(SiteState.EMPTY,
			ReleaseNote.builder("a", 0)
				.add(FITTING)
				.add(endpoint(1, "hobart", "fitting", 8, 8))
				.add(endpoint(2, "derwent", "fitting", 8, 8))
				.build()),
			ReleaseNote.builder("b", 1).addRule("dispatch/weighting", "messages").build());

	private NoteCheckCases() {
	}

	private static SiteState accept(SiteState state, ReleaseNote note) {
		SiteState next = Acceptance.decide(state, note);
		assertThat(next.verdicts().get(note.id()).accepted()).isTrue();
		return next;
	}

	static EndpointSpec endpoint(int number, String domain, String service, int slotCount, int connectionCount) {
		return new EndpointSpec(address(number), domain, "r", service, slotCount, connectionCount, 8, 8, 0);
	}

	static HostAddress address(int number) {
		return new HostAddress("10.1.0." + number, 80);
	}

	static ReleaseNote note(UnaryOperator<ReleaseNote.Builder> changes) {
		return changes.apply(ReleaseNote.builder("n", 2)).build();
	}

	private static Arguments finding(String finding, UnaryOperator<ReleaseNote.Builder> changes) {
		return Arguments.of(finding, note(changes));
	}

	static Stream<Arguments> errors() {
		return Stream.of(
				finding("ERROR service:fitting can't add: the active version has it already",
						(note) -> note.add(FITTING)),
				finding("ERROR rule:team-share/a can't withdraw: the active version does not have it",
						(note) -> note.withdrawRule("team-share/a")),
				finding("ERROR capacity:10.1.0.9:80 can't withdraw: the active version does not have it",
						(note) -> note.withdrawCapacity(address(9))),
				finding("ERROR service:other can't change: the active version does not have it",
						(note) -> note.change(new ServiceSpec("other", Set.of(), true, 1))),
				finding("ERROR capacity:10.1.0.3:80 names the service other, which does not exist",
						(note) -> note.add(endpoint(3, "hobart", "other", 8, 8))),
				finding("ERROR capacity:10.1.0.1:80 names the service fitting, which does not exist",
						(note) -> note.withdrawService("fitting")),
				Arguments.of("ERROR rule:dispatch/weighting conflict: changed in version 2, after base 1",
						ReleaseNote.builder("n", 1).changeRule("dispatch/weighting", "response-time").build()),
				Arguments.of("ERROR note base 3 is not a version of this site; the latest is 2",
						ReleaseNote.builder("n", 3).addRule("team-share/a", "1").build()),
				Arguments.of("ERROR id the id a was used by another note",
						ReleaseNote.builder("a", 2).addRule("team-share/a", "1").build()));
	}

	static Stream<Arguments> warnings() {
		return Stream.of(
				finding("WARNING rule:limits/queue has no effect: no program reads this rule",
						(note) -> note.addRule("limits/queue", "9")),
				finding("WARNING rule:dispatch/placement \"best\" is no policy, so the default is used; policies: "
						+ "least-of-two, least-of-two-peers, owner, random, round-robin, slot-share",
						(note) -> note.addRule("dispatch/placement", "best")),
				finding("WARNING rule:dispatch/job-order \"fifo\" is no policy, so the default is used; policies: "
						+ "arrival, least-work", (note) -> note.addRule("dispatch/job-order", "fifo")),
				finding("WARNING rule:dispatch/team-order \"fair\" is no policy, so the default is used; policies: "
						+ "least-running, slot-time", (note) -> note.addRule("dispatch/team-order", "fair")),
				finding("WARNING rule:dispatch/weighting the change has no effect: the active version has these values",
						(note) -> note.changeRule("dispatch/weighting", "messages")),
				finding("WARNING capacity:10.1.0.3:80 a running task holds a connection, and 3 connections are fewer "
						+ "than 8 slots: 5 slots can never be used",
						(note) -> note.add(endpoint(3, "hobart", "fitting", 8, 3))),
				finding("WARNING service:sizing no capacity runs the service, so all of its jobs are refused",
						(note) -> note.add(new ServiceSpec("sizing", Set.of(), true, 1))),
				finding("WARNING rule:dispatch/drained-domains no capacity is in the failure domain hobert",
						(note) -> note.addRule(Rules.DRAINED_DOMAINS, "hobert")),
				finding("WARNING rule:dispatch/drained-domains drains every capacity of the service fitting, "
						+ "so all of its jobs are refused",
						(note) -> note.addRule(Rules.DRAINED_DOMAINS, "hobart,derwent")),
				finding("WARNING capacity:10.1.0.3:80 receives no tasks: the failure domain hobart is drained",
						(note) -> note.addRule(Rules.DRAINED_DOMAINS, "hobart")
							.add(endpoint(3, "hobart", "fitting", 8, 8))),
				finding("WARNING rule:dispatch/spill-wait-ms has no effect: the capacities are not in several "
						+ "failure domains",
						(note) -> note.addRule("dispatch/spill-wait-ms", "5").withdrawCapacity(address(2))));
	}

	static Stream<ReleaseNote> notesWithoutFindings() {
		return Stream.of(note((note) -> note.addRule("team-share/a", "2")),
				note((note) -> note.addRule("dispatch/placement", "owner").addRule("dispatch/job-order", "arrival")),
				note((note) -> note.addRule("dispatch/spill-wait-ms", "5")),
				note((note) -> note.addRule(Rules.DRAINED_DOMAINS, "hobart")),
				note((note) -> note.change(endpoint(1, "hobart", "fitting", 4, 4))),
				note((note) -> note.add(new ServiceSpec("sizing", Set.of(), true, 1))
					.add(endpoint(3, "hobart", "sizing", 8, 8))),
				note((note) -> note.withdrawService("fitting")
					.withdrawCapacity(address(1))
					.withdrawCapacity(address(2))));
	}

}
