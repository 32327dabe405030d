package org.masticwick.standin.process;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link AppendQueue}.
 */
class AppendQueueTests {

	@ParameterizedTest
	@CsvSource({ "5, 1000, 100", "0, 200, 100", "0, 100000, 0" })
	void commitsAppendsOneAfterTheOther(long delayMillis, int maxPerSecond, long minTotalMillis) {
		List<Integer> committedIndexes = new CopyOnWriteArrayList<>();
		try (AppendQueue queue = new AppendQueue(TimeSource.system(), delayMillis, maxPerSecond)) {
			long startNanos = System.nanoTime();
			IntStream.range(0, 20).forEach((index) -> queue.submit(() -> committedIndexes.add(index)));
			await().until(() -> committedIndexes.size() == 20);
			assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(minTotalMillis * 1_000_000L);
		}
		assertThat(committedIndexes).isSorted();
	}

	/** A submission that was interrupted used to be committed after the next one. */
	@Test
	void commitsInOrderAlthoughTheTimersFireInAnother() {
		AtomicLong nowNanos = new AtomicLong();
		List<Integer> committedIndexes = new CopyOnWriteArrayList<>();
		try (AppendQueue queue = new AppendQueue(new SteppedTimeSource(nowNanos), 50, 100_000)) {
			queue.submit(() -> committedIndexes.add(0));
			nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
			queue.setDelay(0);
			queue.submit(() -> committedIndexes.add(1));
			await().until(() -> committedIndexes.size() == 2);
		}
		assertThat(committedIndexes).isSorted();
	}

	private record SteppedTimeSource(AtomicLong nowNanos) implements TimeSource {

		@Override
		public long nanoTime() {
			return this.nowNanos.get();
		}

		@Override
		public long epochMillis() {
			return 0;
		}

	}

}
