package org.masticwick.proof.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.NoteFold;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.proof.support.SiteNote;

/**
 * Prints the lengths of release notes and snapshots for sites of several sizes, and the
 * mean time to fold a log record into the state.
 */
public final class SnapshotSizes {

	private static final int[] ENDPOINT_COUNTS = { 30, 100, 300, 690 };

	private static final int[] TEAM_COUNTS = { 10, 40, 160 };

	private static final int[] NOTE_COUNTS = { 1, 500, 1_000, 2_000, 4_000 };

	private static final int DOMAIN_COUNT = 7;

	private SnapshotSizes() {
	}

	/**
	 * Prints one line for each size.
	 * @param arguments ignored
	 */
	public static void main(String... arguments) {
		for (int endpoints : ENDPOINT_COUNTS) {
			print(endpoints, 160, 1);
		}
		for (int teams : TEAM_COUNTS) {
			print(690, teams, 1);
		}
		for (int notes : NOTE_COUNTS) {
			print(690, 160, notes);
		}
	}

	private static void print(int endpoints, int teams, int notes) {
		CapacityOptions options = CapacityOptions.parse("endpoints=" + endpoints, "teams=" + teams,
				"domains=" + DOMAIN_COUNT);
		List<String> domains = List.of("d0", "d1", "d2", "d3", "d4", "d5", "d6");
		SiteNote first = new SiteNote("first", 0).add(new ServiceSpec("meal-application", Set.of(), true, 30_000));
		String size = CapacityNotes.siteSizeNote(options, domains).text();
		SiteState state = NoteFold.fold(SiteState.EMPTY,
				List.of(new LogRecord(0, first.text()), new LogRecord(1, size)));
		long startNanos = System.nanoTime();
		for (int index = 1; index < notes; index++) {
			String text = ruleChange(index, state.version().number()).text();
			state = NoteFold.fold(state, new LogRecord(state.nextOffset(), text));
		}
		long micros = (System.nanoTime() - startNanos) / 1_000 / Math.max(1, notes - 1);
		int bytes = SiteRecordCodec.encodeSnapshot(state).length();
		System.out.printf(Locale.ROOT,
				"endpoints=%d teams=%d notes=%d version=%d note_bytes=%d snapshot_bytes=%d fold_us=%d%n", endpoints,
				teams, notes, state.version().number(), size.length(), bytes, micros);
	}

	private static SiteNote ruleChange(int index, long base) {
		SiteNote note = new SiteNote("change-" + index, base);
		return (index % 2 == 1) ? note.addRule("limits/changed", "1") : note.withdrawRule("limits/changed");
	}

}
