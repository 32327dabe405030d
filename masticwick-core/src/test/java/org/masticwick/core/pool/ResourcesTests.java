package org.masticwick.core.pool;

import java.math.BigInteger;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that sums and differences of {@link Resources} do not wrap around: an endpoint
 * with an absurd capacity used to make the room of its pool negative.
 */
class ResourcesTests {

	private static final String SEED = "20261205";

	private static long limit(BigInteger exact, long min, long max) {
		return exact.max(BigInteger.valueOf(min)).min(BigInteger.valueOf(max)).longValueExact();
	}

	private static long limit(BigInteger exact) {
		return limit(exact, Long.MIN_VALUE, Long.MAX_VALUE);
	}

	@Property(seed = SEED)
	void sumsAreExactOrTheLimitOfTheirType(@ForAll long first, @ForAll long second, @ForAll int firstCount,
			@ForAll int secondCount) {
		Resources sum = new Resources(first, second, firstCount).plus(new Resources(second, first, secondCount));
		BigInteger exact = BigInteger.valueOf(first).add(BigInteger.valueOf(second));
		assertThat(sum.cpuMillicores()).isEqualTo(limit(exact));
		assertThat(sum.memoryMegabytes()).isEqualTo(limit(exact));
		assertThat(sum.gpuCount()).isEqualTo(
				(int) limit(BigInteger.valueOf((long) firstCount + secondCount), Integer.MIN_VALUE, Integer.MAX_VALUE));
	}

	@Property(seed = SEED)
	void differencesAreExactOrTheLimitOfTheirType(@ForAll long first, @ForAll long second, @ForAll int firstCount,
			@ForAll int secondCount) {
		Resources difference = new Resources(first, second, firstCount)
			.minus(new Resources(second, first, secondCount));
		BigInteger exact = BigInteger.valueOf(first).subtract(BigInteger.valueOf(second));
		assertThat(difference.cpuMillicores()).isEqualTo(limit(exact));
		assertThat(difference.memoryMegabytes()).isEqualTo(limit(exact.negate()));
		assertThat(difference.gpuCount()).isEqualTo(
				(int) limit(BigInteger.valueOf((long) firstCount - secondCount), Integer.MIN_VALUE, Integer.MAX_VALUE));
	}

}
