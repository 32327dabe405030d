package org.masticwick.platform;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests of {@link NotePublisher} and {@link SiteLogReader}.
 */
class NotePublisherTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

	private final FakePlatform platform = new FakePlatform();

	private final SiteLogReader reader = new SiteLogReader(this.platform);

	private NotePublisher publisher() {
		return new NotePublisher(this.platform, TimeSource.system(), new Random(1));
	}

	private static ReleaseNote note(String id, long base, String rule) {
		return ReleaseNote.builder(id, base).addRule(rule, "1").build();
	}

	private SiteState state() {
		return this.reader.load().orElseThrow().finalState();
	}

	@Nested
	class Verdicts {

		@Test
		void tellsVersionOfAcceptedNote() {
			assertThat(publisher().publish(note("a", 0, "limits/a"), TIMEOUT))
				.isEqualTo(new PublishResult(PublishResult.Status.ACCEPTED, 1, ""));
		}

		@Test
		void acceptsOneOfConflictingNotes() {
			List<CompletableFuture<PublishResult>> futures = IntStream.range(0, 8)
				.mapToObj((i) -> CompletableFuture
					.supplyAsync(() -> publisher().publish(note("n" + i, 0, "limits/same"), TIMEOUT)))
				.toList();
			List<PublishResult> results = futures.stream().map(CompletableFuture::join).toList();
			assertThat(results).filteredOn((result) -> result.status() == PublishResult.Status.ACCEPTED).hasSize(1);
			assertThat(results).filteredOn((result) -> result.status() == PublishResult.Status.REJECTED)
				.hasSize(7)
				.allSatisfy((result) -> assertThat(result.reason()).startsWith("conflict: rule:limits/same"));
		}

		@Test
		void tellsApartAnotherNoteUnderTheId() {
			publisher().publish(note("a", 0, "limits/a"), TIMEOUT);
			PublishResult result = publisher().publish(note("a", 1, "limits/b"), TIMEOUT);
			assertThat(result.status()).isEqualTo(PublishResult.Status.REJECTED);
			assertThat(result.reason()).contains("another note");
		}

	}

	@Nested
	class Faults {

		@Test
		void hasOneEffectWhenRepliesAreLost() {
			NotePublisherTests.this.platform.setLosingReplies(true);
			CompletableFuture<PublishResult> result = CompletableFuture
				.supplyAsync(() -> publisher().publish(note("a", 0, "limits/a"), TIMEOUT));
			await().until(() -> NotePublisherTests.this.platform.records().size() >= 3);
			NotePublisherTests.this.platform.setLosingReplies(false);
			assertThat(result.join()).isEqualTo(new PublishResult(PublishResult.Status.ACCEPTED, 1, ""));
			assertThat(state().version().number()).isEqualTo(1);
		}

		@Test
		void isPendingWhileLogIsDown() {
			NotePublisherTests.this.platform.setDown(true);
			ReleaseNote note = note("a", 0, "limits/a");
			assertThat(publisher().publish(note, SHORT_TIMEOUT).status()).isEqualTo(PublishResult.Status.PENDING);
			NotePublisherTests.this.platform.setDown(false);
			assertThat(publisher().publish(note, TIMEOUT).status()).isEqualTo(PublishResult.Status.ACCEPTED);
		}

		@Test
		void isPendingWithoutStartOfLog() {
			publisher().publish(note("a", 0, "limits/a"), TIMEOUT);
			SiteState state = state();
			NotePublisherTests.this.platform.expire(1);
			assertThat(publisher().publish(note("b", 1, "limits/b"), SHORT_TIMEOUT).status())
				.isEqualTo(PublishResult.Status.PENDING);
			append(SiteRecordCodec.encodeRestore(state, 1));
			assertThat(publisher().publish(note("c", 1, "limits/c"), TIMEOUT).status())
				.isEqualTo(PublishResult.Status.ACCEPTED);
		}

		@Test
		void startsFromNewestSnapshot() {
			IntStream.range(0, 200).forEach((i) -> {
				append(SiteRecordCodec.encode(note("n" + i, i, "limits/r" + i)));
				if (i == 50) {
					append(SiteRecordCodec.encodeSnapshot(state()));
				}
			});
			SiteState whole = state();
			NotePublisherTests.this.platform.expire(51);
			assertThat(state()).isEqualTo(whole);
			assertThat(whole.version().number()).isEqualTo(200);
		}

		private void append(String text) {
			NotePublisherTests.this.platform.append(SiteRecord.STREAM, List.of(text));
		}

	}

}
