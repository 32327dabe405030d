package org.masticwick.daemon.version;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RecordRelay}.
 */
class RecordRelayTests {

	private final VersionRegistry ahead = new VersionRegistry(new RecentRecords(4, 1_000_000));

	private final VersionRegistry behind = new VersionRegistry(new RecentRecords());

	private final RecordRelay sender = new RecordRelay(this.ahead);

	private final RecordRelay receiver = new RecordRelay(this.behind);

	private static void follow(VersionRegistry registry, String... ids) {
		for (String id : ids) {
			SiteState state = registry.state();
			ReleaseNote note = ReleaseNote.builder(id, state.version().number()).addRule("limits/" + id, "1").build();
			registry.foldRecord(state, new LogRecord(state.nextOffset(), SiteRecordCodec.encode(note)));
		}
	}

	private RecordRelay.ApplyResult exchange() {
		return this.receiver.apply(this.sender.answerFetch(this.receiver.fetchOffset(), 2));
	}

	@Test
	void sendsStateToHostThatHasNone() {
		follow(this.ahead, "a", "b");
		assertThat(this.receiver.shouldFetchFrom(this.ahead.position())).isTrue();
		assertThat(exchange()).isEqualTo(RecordRelay.ApplyResult.ADVANCED);
		assertThat(this.behind.state()).isEqualTo(this.ahead.state());
		assertThat(this.receiver.shouldFetchFrom(this.ahead.position())).isFalse();
	}

	@Test
	void sendsRecordsInBoundedSteps() {
		follow(this.ahead, "a", "b", "c", "d");
		follow(this.behind, "a");
		RelayedRecords relayed = this.sender.answerFetch(this.receiver.fetchOffset(), 2);
		assertThat(relayed.hasState()).isFalse();
		assertThat(relayed.records()).hasSize(2);
		exchange();
		exchange();
		assertThat(this.behind.state()).isEqualTo(this.ahead.state());
		assertThat(this.receiver.apply(relayed)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
	}

	@Test
	void sendsStateWhenRecordsAreTooOld() {
		follow(this.ahead, "a", "b", "c", "d", "e", "f");
		follow(this.behind, "a");
		assertThat(this.sender.answerFetch(1, 10).hasState()).isTrue();
		assertThat(exchange()).isEqualTo(RecordRelay.ApplyResult.ADVANCED);
	}

	@Test
	void refusesStateThatLacksWhatIsInForce() {
		follow(this.ahead, "a", "x", "y");
		follow(this.behind, "a", "b");
		SiteState before = this.behind.state();
		assertThat(exchange()).isEqualTo(RecordRelay.ApplyResult.STATE_NEEDED);
		RelayedRecords whole = this.sender.answerFetch(RecordRelay.STATE_REQUESTED, 2);
		assertThat(this.receiver.apply(whole)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behind.state()).isEqualTo(before);
		assertThat(this.receiver.shouldFetchFrom(this.ahead.position())).isFalse();
	}

	@Test
	void passesOverStateThatCannotBeRead() {
		RelayedRecords broken = new RelayedRecords(0, "", List.of(), 1, "{\"version\":");
		assertThat(this.receiver.apply(broken)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behind.hasState()).isFalse();
	}

	@Test
	void sendsNothingWhileNothingIsKnown() {
		assertThat(exchange()).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behind.hasState()).isFalse();
	}

}
