package org.masticwick.fleet.connection;

import java.util.List;
import java.util.OptionalLong;
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
			assertThat(TopicFollowerTests.this.log.calls.subList(0, 4)).containsExactly("load", "load", "read", "read");
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

	private static final class RecordingLog implements SharedLog {

		private final List<String> calls = new CopyOnWriteArrayList<>();

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey) {
			this.calls.add("load");
			return CompletableFuture.completedFuture(new LogPage(List.of(), 7, null));
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis) {
			this.calls.add("read");
			return CompletableFuture.completedFuture(new LogPage(List.of(), fromOffset, null));
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd) {
			throw new UnsupportedOperationException("a follower does not write");
		}

	}

}
