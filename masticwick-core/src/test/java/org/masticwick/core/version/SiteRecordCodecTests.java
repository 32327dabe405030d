package org.masticwick.core.version;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SiteRecordCodec}.
 */
class SiteRecordCodecTests {

	private static final ReleaseNote NOTE = ReleaseNote.builder("first", 0)
		.add(SiteFixtures.service("fitting"))
		.add(SiteFixtures.service("sizing"))
		.add(SiteFixtures.endpoint(9002, "fitting"))
		.add(SiteFixtures.endpoint(9001, "sizing"))
		.addRule("limits/queue", "9")
		.build();

	private static final SiteState STATE = SiteFixtures.fold(SiteState.EMPTY, NOTE,
			ReleaseNote.builder("refused", 0).withdrawService("none").build());

	@Test
	void decodesEncodedNote() {
		assertThat(SiteRecordCodec.decode(SiteRecordCodec.encode(NOTE))).isEqualTo(new SiteRecord.NoteRecord(NOTE));
	}

	@Test
	void decodesEncodedSnapshotsAndStates() {
		assertThat(SiteRecordCodec.decode(SiteRecordCodec.encodeSnapshot(STATE)))
			.isEqualTo(new SiteRecord.SnapshotRecord(STATE, OptionalLong.empty()));
		assertThat(SiteRecordCodec.decode(SiteRecordCodec.encodeRestore(STATE, 7)))
			.isEqualTo(new SiteRecord.SnapshotRecord(STATE, OptionalLong.of(7)));
		assertThat(SiteRecordCodec.decodeState(SiteRecordCodec.encodeState(STATE))).isEqualTo(STATE);
	}

	@Test
	void encodesEqualStatesAsEqualText() {
		SiteState decoded = SiteRecordCodec.decodeState(SiteRecordCodec.encodeState(STATE));
		assertThat(SiteRecordCodec.encodeSnapshot(decoded)).isEqualTo(SiteRecordCodec.encodeSnapshot(STATE));
	}

	@Test
	void ignoresUnknownFields() {
		String text = SiteRecordCodec.encode(NOTE).replace("\"base\":0", "\"base\":0,\"later\":[1]");
		assertThat(SiteRecordCodec.decode(text)).isEqualTo(new SiteRecord.NoteRecord(NOTE));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "7", "[]", "{", "{\"type\":\"later\"}", "{\"type\":\"note\"}",
			"{\"type\":\"note\",\"id\":\"a\",\"base\":\"b\"}", "{\"type\":\"snapshot\",\"state\":{}}",
			"{\"type\":\"snapshot\",\"state\":{\"version\":1,\"next_offset\":1,\"history\":\"\",\"changed_at\":{\"x\":1}}}" })
	void skipsUnsupportedRecords(String text) {
		assertThat(SiteRecordCodec.decode(text)).isInstanceOf(SiteRecord.UnsupportedRecord.class);
		SiteState next = NoteFold.fold(STATE, new LogRecord(STATE.nextOffset(), text));
		assertThat(next.version()).isEqualTo(STATE.version());
		assertThat(next.nextOffset()).isEqualTo(STATE.nextOffset() + 1);
	}

}
