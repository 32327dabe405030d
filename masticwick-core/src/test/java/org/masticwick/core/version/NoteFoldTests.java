package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link NoteFold} with random histories of the log, and with the merge of two
 * histories.
 */
class NoteFoldTests {

	private static final String SEED = "20261203";

	private static final int RECORD_COUNT = 60;

	@Property(seed = SEED, tries = 100)
	void yieldsSameStateFromEverySnapshot(@ForAll long seed) {
		List<LogRecord> log = randomLog(new Random(seed), SiteState.EMPTY, RECORD_COUNT);
		SiteState stateFromBegin = NoteFold.fold(SiteState.EMPTY, log);
		log.forEach((record) -> {
			if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot
					&& snapshot.canStartFold(record.offset(), 0)) {
				SiteState start = snapshot.state();
				List<LogRecord> tail = log.subList((int) start.nextOffset(), log.size());
				assertThat(SiteRecordCodec.encodeSnapshot(NoteFold.fold(start, tail)))
					.isEqualTo(SiteRecordCodec.encodeSnapshot(stateFromBegin));
			}
		});
	}

	@Property(seed = SEED, tries = 100)
	void neverRevertsAcceptedNotes(@ForAll long seed) {
		SiteState state = SiteState.EMPTY;
		for (LogRecord record : randomLog(new Random(seed), state, RECORD_COUNT)) {
			SiteState next = NoteFold.fold(state, record);
			assertThat(next.version().number()).isGreaterThanOrEqualTo(state.version().number());
			assertThat(next.containsNotesOf(state)).isTrue();
			state = next;
		}
	}

	@Property(seed = SEED, tries = 100)
	void mergesHistoriesToSameVersionInAnyOrder(@ForAll long seed, @ForAll @IntRange(max = 20) int commonCount) {
		Random random = new Random(seed);
		SiteState start = NoteFold.fold(SiteState.EMPTY, randomLog(random, SiteState.EMPTY, commonCount));
		SiteState longer = NoteFold.fold(start, randomLog(random, start, 20));
		SiteState shorter = start;
		SiteState log = NoteFold.fold(start, randomLog(random, start, 8));
		String restoreOfLonger = SiteRecordCodec.encodeRestore(longer, log.nextOffset());
		String restoreOfShorter = SiteRecordCodec.encodeRestore(shorter, start.nextOffset());
		SiteState merged = append(append(append(log, restoreOfShorter), restoreOfLonger), restoreOfLonger);
		SiteState mergedInReverse = append(append(append(log, restoreOfLonger), restoreOfShorter), restoreOfLonger);
		assertThat(merged.containsNotesOf(longer)).isTrue();
		assertThat(merged.containsNotesOf(log)).isTrue();
		assertThat(merged.version()).isEqualTo(mergedInReverse.version());
		assertThat(merged.verdicts()).isEqualTo(mergedInReverse.verdicts());
	}

	@Test
	void rejectsNotesThatConflictWithUnseenChangesOfMerge() {
		SiteState start = SiteFixtures.fold(SiteState.EMPTY,
				ReleaseNote.builder("start", 0).addRule("limits/a", "1").addRule("limits/b", "1").build());
		SiteState lost = SiteFixtures.fold(start, ReleaseNote.builder("lost", 1).changeRule("limits/a", "2").build());
		SiteState log = SiteFixtures.fold(start, ReleaseNote.builder("new", 1).changeRule("limits/b", "3").build());
		SiteState merged = append(log, SiteRecordCodec.encodeRestore(lost, 1));
		SiteState later = SiteFixtures.fold(merged,
				ReleaseNote.builder("sawNew", 2).changeRule("limits/a", "9").build(),
				ReleaseNote.builder("sawLost", 2).changeRule("limits/b", "9").build());
		assertThat(merged.version().rules().values()).containsEntry("limits/a", "2").containsEntry("limits/b", "3");
		assertThat(merged.version().number()).isEqualTo(4);
		assertThat(later.accepted("sawNew")).isFalse();
		assertThat(later.accepted("sawLost")).isFalse();
	}

	private static SiteState append(SiteState state, String text) {
		return NoteFold.fold(state, new LogRecord(state.nextOffset(), text));
	}

	/**
	 * Generates records as several operators and hosts append them concurrently: notes
	 * against old base versions, duplicate notes, late snapshots, and snapshots of
	 * another history.
	 */
	private static List<LogRecord> randomLog(Random random, SiteState start, int count) {
		List<LogRecord> log = new ArrayList<>();
		List<SiteState> states = new ArrayList<>(List.of(start));
		SiteState otherHistory = start;
		for (int i = 0; i < count; i++) {
			SiteState state = states.get(states.size() - 1);
			String text = switch (random.nextInt(10)) {
				case 0 -> SiteRecordCodec.encodeSnapshot(states.get(random.nextInt(states.size())));
				case 1 -> SiteRecordCodec.encodeRestore(otherHistory, random.nextInt(count));
				case 2 -> (log.isEmpty()) ? "{}" : log.get(random.nextInt(log.size())).value();
				default -> SiteRecordCodec.encode(randomNote(random, state));
			};
			log.add(new LogRecord(state.nextOffset(), text));
			states.add(append(state, text));
			otherHistory = SiteFixtures.fold(otherHistory, randomNote(random, otherHistory));
		}
		return log;
	}

	private static ReleaseNote randomNote(Random random, SiteState state) {
		long base = Math.max(0, state.version().number() - random.nextInt(3));
		ReleaseNote.Builder note = ReleaseNote.builder("n" + random.nextInt(1_000_000), base);
		String rule = "limits/r" + random.nextInt(6);
		String value = Integer.toString(1 + random.nextInt(99));
		int port = 9000 + random.nextInt(4);
		return switch (random.nextInt(6)) {
			case 0 -> note.addRule(rule, value).build();
			case 1 -> note.changeRule(rule, value).build();
			case 2 -> note.withdrawRule(rule).build();
			case 3 -> note.add(SiteFixtures.service("s" + random.nextInt(2))).build();
			case 4 -> note.withdrawService("s" + random.nextInt(2)).build();
			default -> note.add(SiteFixtures.endpoint(port, "s" + random.nextInt(2))).build();
		};
	}

}
