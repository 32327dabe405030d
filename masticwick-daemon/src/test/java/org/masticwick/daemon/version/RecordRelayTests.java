package org.masticwick.daemon.version;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RecordRelay}, between a host that has read records of the log and a
 * host that lacks some or all of them.
 */
class RecordRelayTests {

	private final VersionRegistry aheadRegistry = new VersionRegistry(new RecentRecords(4, 1_000_000));

	private final VersionRegistry behindRegistry = new VersionRegistry(new RecentRecords());

	private final RecordRelay sender = new RecordRelay(this.aheadRegistry);

	private final RecordRelay receiver = new RecordRelay(this.behindRegistry);

	private static void foldNotes(VersionRegistry registry, String... ids) {
		for (String id : ids) {
			SiteState state = registry.state();
			ReleaseNote note = ReleaseNote.builder(id, state.version().number()).addRule("limits/" + id, "1").build();
			registry.foldRecord(state, new LogRecord(state.nextOffset(), SiteRecordCodec.encode(note)));
		}
	}

	private RecordRelay.ApplyResult fetchAndApply() {
		return this.receiver.apply(this.sender.answerFetch(this.receiver.fetchOffset(), 2));
	}

	@Test
	void sendsStateToHostWithoutState() {
		foldNotes(this.aheadRegistry, "a", "b");
		assertThat(this.receiver.shouldFetchFrom(this.aheadRegistry.position())).isTrue();
		assertThat(fetchAndApply()).isEqualTo(RecordRelay.ApplyResult.ADVANCED);
		assertThat(this.behindRegistry.state()).isEqualTo(this.aheadRegistry.state());
		assertThat(this.receiver.shouldFetchFrom(this.aheadRegistry.position())).isFalse();
	}

	@Test
	void limitsTheRecordsOfAnAnswer() {
		foldNotes(this.aheadRegistry, "a", "b", "c", "d");
		foldNotes(this.behindRegistry, "a");
		RelayedRecords relayed = this.sender.answerFetch(this.receiver.fetchOffset(), 2);
		assertThat(relayed.hasState()).isFalse();
		assertThat(relayed.records()).hasSize(2);
		fetchAndApply();
		fetchAndApply();
		assertThat(this.behindRegistry.state()).isEqualTo(this.aheadRegistry.state());
		assertThat(this.receiver.apply(relayed)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
	}

	@Test
	void sendsStateWhenRecordsAreTooOld() {
		foldNotes(this.aheadRegistry, "a", "b", "c", "d", "e", "f");
		foldNotes(this.behindRegistry, "a");
		assertThat(this.sender.answerFetch(1, 10).hasState()).isTrue();
		assertThat(fetchAndApply()).isEqualTo(RecordRelay.ApplyResult.ADVANCED);
	}

	@Test
	void rejectsStateThatLacksActiveNotes() {
		foldNotes(this.aheadRegistry, "a", "x", "y");
		foldNotes(this.behindRegistry, "a", "b");
		SiteState stateBefore = this.behindRegistry.state();
		assertThat(fetchAndApply()).isEqualTo(RecordRelay.ApplyResult.STATE_NEEDED);
		RelayedRecords peerState = this.sender.answerFetch(RecordRelay.STATE_REQUESTED, 2);
		assertThat(this.receiver.apply(peerState)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behindRegistry.state()).isEqualTo(stateBefore);
		assertThat(this.receiver.shouldFetchFrom(this.aheadRegistry.position())).isFalse();
	}

	@Test
	void ignoresStateThatCannotBeDecoded() {
		RelayedRecords undecodable = new RelayedRecords(0, "", List.of(), 1, "{\"version\":");
		assertThat(this.receiver.apply(undecodable)).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behindRegistry.hasState()).isFalse();
	}

	@Test
	void sendsNothingWithoutState() {
		assertThat(fetchAndApply()).isEqualTo(RecordRelay.ApplyResult.UNCHANGED);
		assertThat(this.behindRegistry.hasState()).isFalse();
	}

}
