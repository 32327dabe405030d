package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a start that an endpoint executes seconds late, after it was restarted under
 * its id, does not run beside a later run of its task.
 */
class LateStartsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final long RUN_MILLIS = 3_000;

	/** Longer than a lease and the restart of an endpoint together. */
	private static final long DELAY_MILLIS = 2_500;

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	private final AtomicReference<String> lateEndpoint = new AtomicReference<>();

	@AfterEach
	void close() {
		this.site.close();
	}

	private InMemoryEndpoints.CommandFate delayFirstEndpoint(String endpointId) {
		this.lateEndpoint.compareAndSet(null, endpointId);
		return endpointId.equals(this.lateEndpoint.get()) ? new InMemoryEndpoints.CommandFate(DELAY_MILLIS, false)
				: InMemoryEndpoints.CommandFate.NORMAL;
	}

	/**
	 * The start for the previous incarnation used to run beside the restarted task, as
	 * its end of the lease was far in the future by the new clock.
	 */
	@Test
	void doNotRunOnARestartedEndpoint() {
		this.site.listEndpoint("e1", "d1", true);
		this.site.listEndpoint("e2", "d1", true);
		this.site.start("host-1", "d1");
		this.site.awaitReady("host-1");
		this.site.endpoints().decideFates(this::delayFirstEndpoint);
		CompletableFuture<HttpReply> reply = this.site.submit("host-1", "j1", 1);
		Awaitility.await().atMost(TIMEOUT).until(() -> this.lateEndpoint.get() != null);
		this.site.endpoints().crash(this.lateEndpoint.get());
		this.site.endpoints().decideFates((endpointId) -> InMemoryEndpoints.CommandFate.NORMAL);
		assertThat(reply.join().status()).isEqualTo(200);
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.endpoints().runningCount() == 0);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

}
