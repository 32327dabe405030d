package org.masticwick.standin.process;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

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

}
