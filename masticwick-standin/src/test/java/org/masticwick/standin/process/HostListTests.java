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

	private final HostList hostList = new HostList(100);

	@ParameterizedTest
	@CsvSource({ "99, 0", "100, 1", "599, 1", "600, 0" })
	void listsAHostAfterTheLagUntilItsLeaseHasExpired(long readMillis, int hostCount) {
		this.hostList.put(HOST, LEASE, 0);
		if (readMillis > 200) {
			this.hostList.put(HOST, LEASE, toNanos(200));
		}
		assertThat(this.hostList.list(toNanos(readMillis))).hasSize(hostCount);
	}

	@ParameterizedTest
	@CsvSource({ "149, 1", "150, 0" })
	void removesAHostAfterTheLag(long readMillis, int hostCount) {
		this.hostList.put(HOST, LEASE, 0);
		this.hostList.remove(HOST, toNanos(50));
		assertThat(this.hostList.list(toNanos(readMillis))).hasSize(hostCount);
	}

	private static long toNanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
