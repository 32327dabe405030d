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

	private static final HostAddress FIRST_PEER = new HostAddress("10.0.0.1", 1);

	private static final HostAddress SECOND_PEER = new HostAddress("10.0.0.2", 1);

	private final VersionPull pull = new VersionPull();

	@ParameterizedTest
	@CsvSource({ "7, 7, 1000, false", "7, 6, 1000, false", "7, 8, 1000, true", "7, 8, 249, false" })
	void asksAPeerAfterTheGracePeriodOfTheLog(long ownVersionNumber, long peerVersionNumber, long nowMillis,
			boolean expected) {
		this.pull.recordPeerVersion(FIRST_PEER, peerVersionNumber, ownVersionNumber, 0);
		assertThat(this.pull.peerToAsk(ownVersionNumber, nowMillis).isPresent()).isEqualTo(expected);
	}

	// With 1,400 queues in a version, 34 peers that each sent it to a host that was
	// behind saturated the link of that host for seconds.
	@Test
	void asksOnePeerAtATime() {
		this.pull.recordPeerVersion(FIRST_PEER, 8, 7, 0);
		this.pull.recordPeerVersion(SECOND_PEER, 8, 7, 10);
		assertThat(this.pull.peerToAsk(7, 300)).isPresent();
		assertThat(this.pull.peerToAsk(7, 350)).isEmpty();
		assertThat(this.pull.peerToAsk(7, 1_000)).isEmpty();
		assertThat(this.pull.peerToAsk(7, 1_200)).isPresent();
	}

	@Test
	void asksThePeerWithTheNewestVersion() {
		this.pull.recordPeerVersion(SECOND_PEER, 9, 7, 0);
		this.pull.recordPeerVersion(FIRST_PEER, 8, 7, 10);
		assertThat(this.pull.peerToAsk(7, 300)).hasValue(SECOND_PEER);
	}

	@Test
	void gracePeriodRestartsForTheNextVersion() {
		this.pull.recordPeerVersion(FIRST_PEER, 8, 7, 0);
		assertThat(this.pull.peerToAsk(8, 100)).isEmpty();
		this.pull.recordPeerVersion(FIRST_PEER, 9, 8, 1_000);
		assertThat(this.pull.peerToAsk(8, 1_100)).isEmpty();
		assertThat(this.pull.peerToAsk(8, 1_250)).isPresent();
	}

}
