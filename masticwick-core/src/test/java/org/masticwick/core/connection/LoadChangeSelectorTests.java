package org.masticwick.core.connection;

import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadChangeSelector}.
 */
class LoadChangeSelectorTests {

	private static final long SEED = 20_261_203;

	private final LoadChangeSelector selector = new LoadChangeSelector(new LoadBudget(1, 1, 2));

	private static LoadReport teams(Map<String, Integer> teamRunning) {
		return new LoadReport(Map.of(), Map.of(), teamRunning);
	}

	@Test
	void sendsLargestChangesFirst() {
		LoadReport load = teams(Map.of("a", 1, "b", 9, "c", 5));
		assertThat(this.selector.selectChanges(load).teamRunning()).containsOnlyKeys("b", "c");
		assertThat(this.selector.selectChanges(load).teamRunning()).containsOnlyKeys("a");
		assertThat(this.selector.selectChanges(load).teamRunning()).isEmpty();
	}

	@Test
	void sendsZerosForRemovedEntries() {
		this.selector.markAllSent(teams(Map.of("a", 1)));
		assertThat(this.selector.selectChanges(teams(Map.of())).teamRunning()).isEqualTo(Map.of("a", 0));
		assertThat(this.selector.selectChanges(teams(Map.of())).teamRunning()).isEmpty();
	}

	@Test
	void convergesReceiverToSameLoad() {
		Random random = new Random(SEED);
		LoadReport received = PeerStatus.NO_LOAD;
		LoadReport load = received;
		for (int round = 0; round < 200; round++) {
			load = (round < 100) ? randomLoad(random) : load;
			received = LoadChanges.apply(received, this.selector.selectChanges(load));
			assertThat(received).as("seed %d, round %d", SEED, round).isEqualTo(this.selector.lastSent());
		}
		assertThat(received).as("seed %d", SEED).isEqualTo(load);
	}

	private static LoadReport randomLoad(Random random) {
		Map<String, Integer> teams = IntStream.range(0, 20)
			.filter((team) -> random.nextBoolean())
			.boxed()
			.collect(Collectors.toMap((team) -> "team-" + team, (team) -> 1 + random.nextInt(9)));
		return new LoadReport(Map.of("service", new ServiceLoad(random.nextInt(9), 1, 8, random.nextInt(99))), Map.of(),
				teams);
	}

}
