package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.platform.AppendResult;
import org.masticwick.platform.LogPage;
import org.masticwick.platform.PlatformClient;
import org.masticwick.platform.PlatformHost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link HostListFollower}.
 */
class HostListFollowerTests {

	private static final PlatformHost SELF = new PlatformHost(new HostAddress("127.0.0.1", 7201),
			PlatformHost.Role.ENTRY, "hobart", PlatformHost.State.LIVE);

	private final CountingPlatform platform = new CountingPlatform();

	private final List<List<PlatformHost>> heard = new CopyOnWriteArrayList<>();

	private HostListFollower start(TimeSource time) {
		HostListFollower follower = new HostListFollower(this.platform, SELF, Duration.ofMillis(10),
				Duration.ofSeconds(5), new Random(1), time, this.heard::add);
		follower.start();
		return follower;
	}

	@Test
	void tellsAnUnchangedListOnceAndAChangedOneAtOnce() {
		try (HostListFollower follower = start(new ManualTime())) {
			await().until(() -> this.platform.readCount.get() >= 20);
			assertThat(this.heard).containsExactly(List.of());
			List<PlatformHost> changed = List.of(SELF);
			this.platform.hosts = changed;
			await().until(() -> this.heard.size() == 2);
			assertThat(this.heard.get(1)).isSameAs(changed);
			assertThat(follower.failureCount()).isZero();
		}
	}

	@Test
	void repeatsAnUnchangedListFromTimeToTime() {
		try (HostListFollower follower = start(TimeSource.system())) {
			await().until(() -> this.heard.size() >= 3);
			assertThat(follower.failureCount()).isZero();
		}
	}

	@Test
	void renewsTheLeaseLessOftenThanItReadsAndAtOnceWhenItLeaves() {
		try (HostListFollower follower = start(new ManualTime())) {
			await().until(() -> this.platform.readCount.get() >= 20);
			assertThat(this.platform.registered).containsExactly(SELF);
			follower.announceLeaving();
			await().until(() -> this.platform.registered.size() == 2);
			assertThat(this.platform.registered.get(1).state()).isEqualTo(PlatformHost.State.LEAVING);
		}
	}

	/**
	 * Counts the calls and answers with the same list until it is changed.
	 */
	private static final class CountingPlatform implements PlatformClient {

		private final AtomicInteger readCount = new AtomicInteger();

		private final List<PlatformHost> registered = new CopyOnWriteArrayList<>();

		private volatile List<PlatformHost> hosts = List.of();

		@Override
		public AppendResult append(String stream, List<String> records) {
			throw new UnsupportedOperationException();
		}

		@Override
		public LogPage read(String stream, long fromOffset, int limit, Duration wait) {
			throw new UnsupportedOperationException();
		}

		@Override
		public List<PlatformHost> hosts() {
			this.readCount.incrementAndGet();
			return this.hosts;
		}

		@Override
		public void register(PlatformHost host, Duration lease) {
			this.registered.add(host);
		}

		@Override
		public void deregister(HostAddress address) {
		}

	}

}
