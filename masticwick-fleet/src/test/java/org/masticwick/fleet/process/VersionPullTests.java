package org.masticwick.fleet.process;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link VersionPull}.
 */
class VersionPullTests {

	private static final HostAddress NEAR = new HostAddress("10.0.0.1", 1);

	private static final HostAddress FAR = new HostAddress("10.0.0.2", 1);

	private final VersionPull pull = new VersionPull();

	@ParameterizedTest
	@CsvSource({ "7, 7, 1000, false", "7, 6, 1000, false", "7, 8, 1000, true", "7, 8, 249, false" })
	void asksAfterTheLogHadItsTime(long ownNumber, long peerNumber, long sinceMillis, boolean asks) {
		this.pull.told(NEAR, peerNumber, ownNumber, 0);
		assertThat(this.pull.next(ownNumber, sinceMillis).isPresent()).isEqualTo(asks);
	}

	// Found on the bench: with 1,400 queues in a version, each of 34 peers sent it to
	// each
	// host that was behind, whose link was full for seconds.
	@Test
	void asksOnePeerAtATime() {
		this.pull.told(NEAR, 8, 7, 0);
		this.pull.told(FAR, 8, 7, 10);
		assertThat(this.pull.next(7, 300)).isPresent();
		assertThat(this.pull.next(7, 350)).isEmpty();
		assertThat(this.pull.next(7, 1_000)).isEmpty();
		assertThat(this.pull.next(7, 1_200)).isPresent();
	}

	@Test
	void asksTheHolderOfTheNewestVersion() {
		this.pull.told(FAR, 9, 7, 0);
		this.pull.told(NEAR, 8, 7, 10);
		assertThat(this.pull.next(7, 300)).hasValue(FAR);
	}

	@Test
	void waitsAnewForTheNextVersion() {
		this.pull.told(NEAR, 8, 7, 0);
		assertThat(this.pull.next(8, 100)).isEmpty();
		this.pull.told(NEAR, 9, 8, 1_000);
		assertThat(this.pull.next(8, 1_100)).isEmpty();
		assertThat(this.pull.next(8, 1_250)).isPresent();
	}

}
