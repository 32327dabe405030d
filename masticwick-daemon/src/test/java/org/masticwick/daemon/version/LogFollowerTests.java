package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.platform.FakePlatform;
import org.masticwick.platform.PlatformHost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests {@link LogFollower} and {@link HostListFollower} on their own threads.
 */
class LogFollowerTests {

	private static final FollowerSettings SETTINGS = new FollowerSettings(Duration.ofSeconds(2), Duration.ofMillis(5),
			Duration.ofMillis(50), Duration.ofMillis(20), Duration.ofSeconds(30), Duration.ofMinutes(10), 256);

	private static final PlatformHost HOST = new PlatformHost(new HostAddress("10.1.0.1", 7000),
			PlatformHost.Role.ENTRY, "hobart", PlatformHost.State.LIVE);

	private final FakePlatform platform = new FakePlatform();

	private final VersionRegistry registry = new VersionRegistry(new RecentRecords());

	private final LogFollower follower = new LogFollower(this.platform, this.registry, SETTINGS, TimeSource.system(),
			new Random(1));

	private final List<PlatformHost> receivedHosts = Collections.synchronizedList(new ArrayList<>());

	private final HostListFollower hostListFollower = new HostListFollower(this.platform, HOST, Duration.ofMillis(10),
			Duration.ofSeconds(5), new Random(1), TimeSource.system(), (list) -> {
				this.receivedHosts.clear();
				this.receivedHosts.addAll(list);
			});

	private int noteCount;

	@AfterEach
	void stop() {
		this.follower.close();
	}

	private void publish() {
		int number = this.noteCount++;
		ReleaseNote note = ReleaseNote.builder("n" + number, number).addRule("limits/r" + number, "1").build();
		this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encode(note)));
	}

	private void awaitVersion(long number) {
		await().until(() -> this.registry.activeVersion().number() == number);
	}

	@Nested
	class Log {

		@Test
		void notifiesListenersOfEachVersionOnce() {
			List<Long> numbers = Collections.synchronizedList(new ArrayList<>());
			LogFollowerTests.this.registry.addVersionListener((version) -> numbers.add(version.number()));
			assertThat(LogFollowerTests.this.registry.hasState()).isFalse();
			LogFollowerTests.this.follower.start();
			await().until(LogFollowerTests.this.registry::hasState);
			publish();
			awaitVersion(1);
			publish();
			awaitVersion(2);
			assertThat(numbers).containsExactly(0L, 1L, 2L);
			LogFollowerTests.this.registry.addVersionListener((version) -> numbers.add(version.number()));
			assertThat(numbers).endsWith(2L);
		}

		@Test
		void keepsVersionDuringOutageAndResumesAfterIt() {
			LogFollowerTests.this.follower.start();
			publish();
			awaitVersion(1);
			SiteVersion versionBeforeOutage = LogFollowerTests.this.registry.activeVersion();
			LogFollowerTests.this.platform.setDown(true);
			await().until(() -> LogFollowerTests.this.follower.status().failureCount() > 3);
			assertThat(LogFollowerTests.this.registry.activeVersion()).isSameAs(versionBeforeOutage);
			LogFollowerTests.this.platform.setDown(false);
			publish();
			awaitVersion(2);
		}

		@Test
		void restoresLogThatLostRecords() {
			LogFollowerTests.this.follower.start();
			publish();
			publish();
			awaitVersion(2);
			LogFollowerTests.this.platform.truncate(1);
			await().until(() -> LogFollowerTests.this.platform.records()
				.stream()
				.anyMatch((record) -> record.value().contains("restores_from")));
			assertThat(LogFollowerTests.this.registry.activeVersion().number()).isEqualTo(2);
			await().until(() -> !LogFollowerTests.this.follower.status().logBehind());
		}

	}

	@Nested
	class HostList {

		@Test
		void registersAnnouncesLeavingAndDeregisters() {
			LogFollowerTests.this.hostListFollower.start();
			await().until(() -> LogFollowerTests.this.receivedHosts.contains(HOST));
			LogFollowerTests.this.hostListFollower.announceLeaving();
			await().until(() -> LogFollowerTests.this.receivedHosts.stream()
				.anyMatch((host) -> host.state() == PlatformHost.State.LEAVING));
			LogFollowerTests.this.hostListFollower.close();
			assertThat(LogFollowerTests.this.platform.hosts()).isEmpty();
		}

		@Test
		void keepsLastListDuringOutage() {
			LogFollowerTests.this.hostListFollower.start();
			await().until(() -> LogFollowerTests.this.receivedHosts.contains(HOST));
			LogFollowerTests.this.platform.setDown(true);
			await().until(() -> LogFollowerTests.this.hostListFollower.failureCount() > 3);
			assertThat(LogFollowerTests.this.receivedHosts).containsExactly(HOST);
			LogFollowerTests.this.hostListFollower.close();
		}

	}

}
