package org.masticwick.core.pool;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetrySchedule}.
 */
class RetryScheduleTests {

	private static final PoolCapacity CAPACITY = new PoolCapacity(10_000, 0.8);

	private static final double SPARE_SHARE = 0.2;

	/** The spare capacity serves ten such jobs in a second. */
	private static final double WORK = 200_000;

	private final RetrySchedule schedule = new RetrySchedule();

	private long book(int priority, long nowMillis) {
		return this.schedule.book(priority, WORK, CAPACITY, SPARE_SHARE, nowMillis);
	}

	/** Guards against a second overload by callers who return together. */
	@Test
	void returnsNoMoreCallersInASecondThanThereIsCapacityFor() {
		Map<Long, Integer> returns = new TreeMap<>();
		IntStream.range(0, 100).forEach((number) -> returns.merge(book(0, 0) / 1_000, 1, Integer::sum));
		assertThat(returns.values()).allMatch((count) -> count <= 11);
	}

	@Test
	void keepsTheBoundsOfTheDelay() {
		IntStream.range(0, 2_000)
			.forEach((number) -> assertThat(book(number % 5, number)).isBetween(RetrySchedule.MIN_RETRY_MILLIS,
					RetrySchedule.MAX_RETRY_MILLIS));
	}

	@Test
	void returnsAHigherPriorityEarlier() {
		IntStream.range(0, 20).forEach((number) -> book(2, 0));
		assertThat(book(0, 0)).isLessThan(book(2, 0));
	}

	@Test
	void forgetsReturnsThatHavePassed() {
		IntStream.range(0, 50).forEach((number) -> book(0, 0));
		assertThat(book(0, 120_000)).isLessThanOrEqualTo(RetrySchedule.MIN_RETRY_MILLIS + 100);
	}

	/**
	 * Guards against large jobs that return faster than the capacity allows, because all
	 * their work counts in the slot of their return.
	 */
	@Test
	void spreadsTheWorkOfALargeJobOverTheFollowingSlots() {
		this.schedule.book(0, 20 * WORK, CAPACITY, SPARE_SHARE, 0);
		assertThat(book(0, 0)).isGreaterThanOrEqualTo(2_000);
	}

	/** Guards against a clock whose origin makes times negative. */
	@Test
	void worksWithNegativeTimes() {
		assertThat(book(0, -1_000_000)).isBetween(RetrySchedule.MIN_RETRY_MILLIS, RetrySchedule.MAX_RETRY_MILLIS);
	}

}
