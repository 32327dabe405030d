package org.masticwick.core.pool;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoolSelector}.
 */
class PoolSelectorTests {

	private final PoolSelector selector = new PoolSelector();

	private static PoolSelector.Candidate pool(String name, boolean local, long freeMillicores, double backlogMillis) {
		return new PoolSelector.Candidate(name, local, false, freeMillicores, backlogMillis, true);
	}

	private String selectedPool(Set<String> tried, PoolSelector.Candidate... candidates) {
		return this.selector.select(List.of(candidates), 50_000, tried)
			.map(PoolSelector.Candidate::pool)
			.orElse("none");
	}

	@Test
	void selectsTheLocalPoolIfTheJobFits() {
		assertThat(selectedPool(Set.of(), pool("local", true, 50_000, 0), pool("other", false, 900_000, 0)))
			.isEqualTo("local");
	}

	@Test
	void selectsARemotePoolWithFreeCapacity() {
		assertThat(selectedPool(Set.of(), pool("local", true, 10_000, 0), pool("other", false, 60_000, 0)))
			.isEqualTo("other");
	}

	@Test
	void selectsTheSmallestBacklogIfNoPoolHasCapacity() {
		assertThat(selectedPool(Set.of(), pool("local", true, 0, 200), pool("other", false, 0, 90))).isEqualTo("other");
	}

	@Test
	void selectsTheLocalPoolIfTheRemoteBacklogIsBarelySmaller() {
		assertThat(selectedPool(Set.of(), pool("local", true, 0, 95), pool("other", false, 0, 90))).isEqualTo("local");
	}

	@Test
	void excludesPoolsThatRefusedTheJob() {
		assertThat(selectedPool(Set.of("local"), pool("local", true, 90_000, 0))).isEqualTo("none");
	}

	@Test
	void avoidsAPoolWhoseOwnerIsSuspect() {
		PoolSelector.Candidate suspectPool = new PoolSelector.Candidate("local", true, true, 900_000, 0, true);
		assertThat(selectedPool(Set.of(), suspectPool, pool("other", false, 0, 90))).isEqualTo("other");
		assertThat(selectedPool(Set.of(), suspectPool)).isEqualTo("local");
	}

	private static PoolSelector.Candidate unusablePool(String name, boolean local) {
		return new PoolSelector.Candidate(name, local, false, 0, 0, false);
	}

	/**
	 * The backlog of a pool without capacity reads zero, so that it used to attract all
	 * jobs while the others were busy.
	 */
	@Test
	void avoidsAPoolThatCanRunNothingAlthoughItsBacklogReadsZero() {
		assertThat(selectedPool(Set.of(), unusablePool("local", true), pool("other", false, 0, 900)))
			.isEqualTo("other");
		assertThat(selectedPool(Set.of(), unusablePool("other", false), pool("local", true, 0, 900)))
			.isEqualTo("local");
	}

	@Test
	void prefersASuspectOwnerToAPoolThatCanRunNothing() {
		PoolSelector.Candidate suspectPool = new PoolSelector.Candidate("other", false, true, 0, 0, true);
		assertThat(selectedPool(Set.of(), unusablePool("local", true), suspectPool)).isEqualTo("other");
	}

	@Test
	void selectsAPoolThatCanRunNothingIfThereIsNoOther() {
		assertThat(selectedPool(Set.of("other"), unusablePool("local", true), pool("other", false, 900_000, 0)))
			.isEqualTo("local");
	}

}
