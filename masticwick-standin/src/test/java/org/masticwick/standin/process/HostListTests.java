package org.masticwick.standin.process;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HostList}.
 */
class HostListTests {

	private static final HostAddress HOST = new HostAddress("127.0.0.1", 1);

	private static final HostList.HostLease LEASE = new HostList.HostLease("entry", "d", "live", 300);

	private final HostList hosts = new HostList(100);

	@ParameterizedTest
	@CsvSource({ "99, 0", "100, 1", "599, 1", "600, 0" })
	void showsALeaseAfterTheLagUntilItHasLapsed(long atMillis, int count) {
		this.hosts.put(HOST, LEASE, 0);
		if (atMillis > 200) {
			this.hosts.put(HOST, LEASE, nanos(200));
		}
		assertThat(this.hosts.list(nanos(atMillis))).hasSize(count);
	}

	@ParameterizedTest
	@CsvSource({ "149, 1", "150, 0" })
	void showsARemovalAfterTheLag(long atMillis, int count) {
		this.hosts.put(HOST, LEASE, 0);
		this.hosts.remove(HOST, nanos(50));
		assertThat(this.hosts.list(nanos(atMillis))).hasSize(count);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
