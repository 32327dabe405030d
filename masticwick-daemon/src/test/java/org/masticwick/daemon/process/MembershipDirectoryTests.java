package org.masticwick.daemon.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.MembershipLimits;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MembershipDirectory}.
 */
class MembershipDirectoryTests {

	private static final long DISCOVERY_MILLIS = 2_000;

	private static final HostAddress ADDRESS = new HostAddress("10.0.0.1", 7300);

	private static final EntryHost PREVIOUS = new EntryHost("north", ADDRESS, new Incarnation(100, 1));

	private static final EntryHost SELF = new EntryHost("north", ADDRESS, new Incarnation(200, 2));

	private final AtomicLong nowNanos = new AtomicLong();

	private final MembershipDirectory directory = new MembershipDirectory(
			new Membership(SELF, MembershipLimits.defaults()), new ManualTime(), DISCOVERY_MILLIS);

	private void advanceTo(long millis) {
		this.nowNanos.set(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	@Nested
	class LostHosts {

		/**
		 * Guards against a host that was started at the address of a stopped one and
		 * gives its tickets up before it has heard of the host that holds them.
		 */
		@Test
		void includeThePreviousIncarnationAtTheOwnAddressOnlyAfterDiscovery() {
			advanceTo(DISCOVERY_MILLIS);
			assertThat(MembershipDirectoryTests.this.directory.isLost(PREVIOUS)).isFalse();
			advanceTo(DISCOVERY_MILLIS + 1);
			assertThat(MembershipDirectoryTests.this.directory.isLost(PREVIOUS)).isTrue();
		}

		@Test
		void includeUnknownHostsOnlyAfterDiscovery() {
			EntryHost unknown = new EntryHost("north", new HostAddress("10.0.0.2", 7300), new Incarnation(100, 3));
			advanceTo(DISCOVERY_MILLIS);
			assertThat(MembershipDirectoryTests.this.directory.isLost(unknown)).isFalse();
			advanceTo(DISCOVERY_MILLIS + 1);
			assertThat(MembershipDirectoryTests.this.directory.isLost(unknown)).isTrue();
		}

	}

	private final class ManualTime implements TimeSource {

		@Override
		public long nanoTime() {
			return MembershipDirectoryTests.this.nowNanos.get();
		}

		@Override
		public long epochMillis() {
			return TimeUnit.NANOSECONDS.toMillis(nanoTime());
		}

	}

}
