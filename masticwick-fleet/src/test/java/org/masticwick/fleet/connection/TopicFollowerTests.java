package org.masticwick.fleet.connection;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link TopicFollower}.
 */
class TopicFollowerTests {

	private final EventLoop eventLoop = new DefaultEventLoop();

	private final RecordingLog log = new RecordingLog();

	@AfterEach
	void stopEventLoop() {
		this.eventLoop.shutdownGracefully();
	}

	private TopicFollower follow(TopicFollower.PollPolicy policy) {
		TopicFollower follower = new TopicFollower(this.eventLoop, this.log, SharedTopic.ENDPOINTS, policy,
				(keyedRecord) -> {
				});
		this.eventLoop.execute(follower::start);
		return follower;
	}

	@Nested
	class ChangesOfThePollPolicy {

		/**
		 * A host that becomes an owner used to read all records since it loaded the
		 * endpoints as a standby, which is many times as much as the latest ones.
		 */
		@Test
		void fromPeriodicLoadsLoadOnceMoreBeforeReading() {
			TopicFollower follower = follow(TopicFollower.PollPolicy.reloadPeriodically(60_000));
			await().until(() -> TopicFollowerTests.this.log.calls.size() == 1 && follower.nextOffset() >= 0);
			TopicFollowerTests.this.eventLoop
				.execute(() -> follower.setPollPolicy(TopicFollower.PollPolicy.readPeriodically(10)));
			await().until(() -> TopicFollowerTests.this.log.calls.size() >= 4);
			assertThat(List.copyOf(TopicFollowerTests.this.log.calls).subList(0, 4)).containsExactly("load", "load",
					"read", "read");
		}

		@Test
		void fromReadingGoOnWithPeriodicLoads() {
			TopicFollower follower = follow(TopicFollower.PollPolicy.readPeriodically(60_000));
			await().until(() -> TopicFollowerTests.this.log.calls.size() == 1 && follower.nextOffset() >= 0);
			TopicFollowerTests.this.eventLoop
				.execute(() -> follower.setPollPolicy(TopicFollower.PollPolicy.reloadPeriodically(10)));
			await().until(() -> TopicFollowerTests.this.log.calls.size() >= 3);
			assertThat(TopicFollowerTests.this.log.calls).containsOnly("load");
		}

	}

	@Nested
	class Records {

		private final List<String> delivered = new CopyOnWriteArrayList<>();

		private void followWith(TopicFollower.Listener listener) {
			TopicFollower follower = new TopicFollower(TopicFollowerTests.this.eventLoop, TopicFollowerTests.this.log,
					SharedTopic.ENDPOINTS, TopicFollower.PollPolicy.readPeriodically(10), listener);
			TopicFollowerTests.this.eventLoop.execute(follower::start);
		}

		/**
		 * An unexpected error used to end the following of the topic without a log line.
		 */
		@Test
		void areDeliveredAfterAnErrorOfTheListener() {
			TopicFollowerTests.this.log.loaded = List.of(keyedRecord(5, "a"), keyedRecord(6, "b"));
			followWith((keyedRecord) -> {
				this.delivered.add(keyedRecord.key());
				throw new IllegalStateException("broken");
			});
			await().until(() -> TopicFollowerTests.this.log.calls.contains("read"));
			assertThat(this.delivered).containsExactly("a", "b");
		}

		/**
		 * A load overtakes the records that are read after it: an endpoint that had left
		 * was listed again for a moment.
		 */
		@Test
		void areNotDeliveredAfterNewerOnesOfTheirKey() {
			TopicFollowerTests.this.log.loaded = List.of(keyedRecord(9, "a"));
			TopicFollowerTests.this.log.read = List.of(keyedRecord(7, "a"), keyedRecord(8, "b"));
			followWith((keyedRecord) -> this.delivered.add(keyedRecord.key() + keyedRecord.offset()));
			await().until(() -> this.delivered.contains("b8"));
			assertThat(this.delivered).doesNotContain("a7");
		}

		/**
		 * A listener that derives a state from several records needs to know when it is
		 * complete. An error of the listener must not end the following of the topic.
		 */
		@Test
		void areFollowedByTheOffsetUpToWhichTheyAreComplete() {
			TopicFollowerTests.this.log.loaded = List.of(keyedRecord(5, "a"));
			TopicFollowerTests.this.log.read = List.of(keyedRecord(7, "b"));
			followWith(new TopicFollower.Listener() {

				@Override
				public void onRecord(KeyedRecord keyedRecord) {
					Records.this.delivered.add(keyedRecord.key());
				}

				@Override
				public void onLoaded(Set<String> keys) {
					Records.this.delivered.add("loaded");
				}

				@Override
				public void onUpToDate(long nextOffset) {
					Records.this.delivered.add("up to " + nextOffset);
					throw new IllegalStateException("broken");
				}

			});
			await().until(() -> this.delivered.size() >= 5);
			assertThat(List.copyOf(this.delivered).subList(0, 5)).containsExactly("a", "loaded", "up to 7", "b",
					"up to 7");
		}

		private static KeyedRecord keyedRecord(long offset, String key) {
			return new KeyedRecord(offset, key, new byte[1]);
		}

	}

	private static final class RecordingLog implements SharedLog {

		private final List<String> calls = new CopyOnWriteArrayList<>();

		private volatile List<KeyedRecord> loaded = List.of();

		private volatile List<KeyedRecord> read = List.of();

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey) {
			this.calls.add("load");
			return CompletableFuture.completedFuture(new LogPage(this.loaded, 7, null));
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis) {
			this.calls.add("read");
			return CompletableFuture.completedFuture(new LogPage(this.read, fromOffset, null));
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd) {
			throw new UnsupportedOperationException("a follower does not write");
		}

	}

}
