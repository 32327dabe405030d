package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.platform.FakePlatform;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that release notes stay in force and that hosts agree, over histories in which
 * the log loses, expires and repeats records, hosts are cut off and replaced.
 */
class HistoryTests {

	private static final int SEED_COUNT = 150;

	private static final int STEP_COUNT = 250;

	private static final int HOST_COUNT = 4;

	private static final int SETTLE_ROUND_COUNT = 40;

	private static final int MAX_SETTLE_ROUND_COUNT = 400;

	private final FakePlatform platform = new FakePlatform();

	private final ManualTime time = new ManualTime();

	private final List<SimulatedHost> hosts = new ArrayList<>();

	private Random random = new Random(1);

	private int noteCount;

	static Stream<Integer> seeds() {
		return IntStream.range(0, SEED_COUNT).boxed();
	}

	@BeforeEach
	void startHosts() {
		IntStream.range(0, HOST_COUNT).forEach((i) -> this.hosts.add(newHost()));
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void neverRevertsAndAgrees(int seed) {
		this.random = new Random(seed);
		for (int i = 0; i < STEP_COUNT; i++) {
			act(this.random.nextInt(40));
			this.time.advance(Duration.ofMillis(this.random.nextInt(500)));
		}
		settle();
		exchange();
		assertThat(this.hosts).extracting((host) -> host.registry().current())
			.containsOnly(this.hosts.get(0).registry().current());
		waitForSnapshots();
		assertAgreed();
	}

	private void act(int choice) {
		switch (choice) {
			case 0 -> truncate(this.random.nextInt(6));
			case 1 -> expire();
			case 2 -> replace();
			case 3 -> anyHost().cut(true);
			case 4, 5 -> anyHost().cut(false);
			case 6 -> this.platform.setLosingReplies(this.random.nextInt(3) == 0);
			case 7 -> repeatRecord();
			case 8, 9, 10, 11 -> publish(anyHost());
			case 12, 13, 14 -> anyHost().fetchFrom(anyHost(), 1 + this.random.nextInt(4));
			default -> anyHost().step();
		}
	}

	private void truncate(int recordCount) {
		this.platform.truncate(Math.max(0, this.platform.endOffset() - recordCount));
		this.hosts.forEach(SimulatedHost::disconnect);
	}

	private void expire() {
		this.platform.records()
			.stream()
			.map(LogRecord::value)
			.map(SiteRecordCodec::decode)
			.filter(SiteRecord.SnapshotRecord.class::isInstance)
			.map(SiteRecord.SnapshotRecord.class::cast)
			.filter((snapshot) -> snapshot.restoresFrom().isEmpty())
			.reduce((first, second) -> second)
			.map((snapshot) -> snapshot.state().nextOffset())
			.filter((offset) -> offset <= this.platform.endOffset())
			.ifPresent(this.platform::expire);
	}

	private void replace() {
		SimulatedHost host = newHost();
		this.hosts.set(this.random.nextInt(HOST_COUNT), host);
		if (this.random.nextBoolean()) {
			host.fetchFrom(anyHost(), 1);
		}
	}

	private void repeatRecord() {
		List<LogRecord> records = this.platform.records();
		if (!records.isEmpty()) {
			append(records.get(this.random.nextInt(records.size())).value());
		}
	}

	private void publish(SimulatedHost seenBy) {
		publish(seenBy, this.random.nextInt(2));
	}

	private void publish(SimulatedHost seenBy, int age) {
		int number = this.noteCount++;
		long base = Math.max(0, seenBy.registry().current().number() - age);
		ReleaseNote.Builder note = ReleaseNote.builder("note-" + number, base).addRule("limits/once-" + number, "1");
		if (seenBy.registry().current().rules().values().containsKey("limits/shared")) {
			note.changeRule("limits/shared", Integer.toString(number + 1));
		}
		else {
			note.addRule("limits/shared", "1");
		}
		append(SiteRecordCodec.encode(note.build()));
	}

	private void append(String text) {
		this.platform.setLosingReplies(false);
		this.platform.append(SiteRecord.STREAM, List.of(text));
	}

	private SimulatedHost newHost() {
		return new SimulatedHost(this.platform, this.time, this.random);
	}

	private SimulatedHost anyHost() {
		return this.hosts.get(this.random.nextInt(HOST_COUNT));
	}

	private void settle() {
		this.platform.setLosingReplies(false);
		this.hosts.forEach((host) -> host.cut(false));
		long endOffset = -1;
		for (int i = 0; i < SETTLE_ROUND_COUNT || endOffset != this.platform.endOffset(); i++) {
			assertThat(i).as("rounds until the log is quiet").isLessThan(MAX_SETTLE_ROUND_COUNT);
			endOffset = this.platform.endOffset();
			this.hosts.forEach(SimulatedHost::step);
			this.time.advance(Duration.ofSeconds(1));
		}
	}

	private void exchange() {
		this.hosts.forEach((host) -> this.hosts.forEach((peer) -> host.fetchFrom(peer, 100)));
	}

	private void waitForSnapshots() {
		for (int i = 0; i < SETTLE_ROUND_COUNT; i++) {
			this.hosts.forEach(SimulatedHost::step);
			this.time.advance(Duration.ofMinutes(1));
		}
		settle();
	}

	private void assertAgreed() {
		List<String> texts = this.hosts.stream()
			.map((host) -> SiteRecordCodec.encodeState(host.registry().state()))
			.distinct()
			.toList();
		assertThat(texts).hasSize(1);
		assertThat(this.hosts.get(0).registry().nextOffset()).isEqualTo(this.platform.endOffset());
	}

	@Nested
	class Cases {

		@Test
		void restoresLogThatLostEverything() {
			publishAndSettle(3);
			HistoryTests.this.platform.truncate(0);
			settle();
			assertInForce(3);
			HistoryTests.this.hosts.set(0, newHost());
			settle();
			assertInForce(3);
		}

		@Test
		void startsFromSnapshotWhenNotesHaveExpired() {
			publishAndSettle(20);
			expire();
			HistoryTests.this.hosts.replaceAll((host) -> newHost());
			settle();
			assertInForce(20);
			assertThat(HistoryTests.this.platform.records()).hasSizeLessThan(40);
		}

		@Test
		void noticesLogThatLostRecordsAndGrewPastThem() {
			publishAndSettle(3);
			truncate(2);
			IntStream.range(0, 4).forEach((i) -> publish(newHost()));
			settle();
			assertInForce(3);
			assertAgreed();
		}

		@Test
		void followsPeerWhileCutFromLog() {
			publishAndSettle(2);
			SimulatedHost cutHost = HistoryTests.this.hosts.get(0);
			cutHost.cut(true);
			SimulatedHost peer = HistoryTests.this.hosts.get(1);
			publish(peer);
			peer.step();
			cutHost.fetchFrom(peer, 1);
			assertThat(cutHost.registry().position()).isEqualTo(peer.registry().position());
		}

		private void publishAndSettle(int count) {
			for (int i = 0; i < count; i++) {
				settle();
				publish(HistoryTests.this.hosts.get(0), 0);
			}
			settle();
			assertInForce(count);
		}

		private void assertInForce(int count) {
			HistoryTests.this.hosts.forEach((host) -> IntStream.range(0, count)
				.forEach(
						(i) -> assertThat(host.registry().current().rules().values()).containsKey("limits/once-" + i)));
		}

	}

}
