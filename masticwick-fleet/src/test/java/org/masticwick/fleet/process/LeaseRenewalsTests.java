package org.masticwick.fleet.process;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.EndpointCalls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaseRenewals}.
 */
class LeaseRenewalsTests {

	private static final EndpointEntry ENDPOINT = new EndpointEntry("e1", "service", new HostAddress("10.0.0.9", 1),
			"d1", true, new Resources(1_000, 1_000, 0), Set.of(), 1);

	private final RecordingCalls calls = new RecordingCalls();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), ignoredActions());

	private final LeaseRenewals renewals = new LeaseRenewals(null, this.calls, new OwnedPools(), new FleetMetrics(),
			this.scheduler, 450, (pool) -> {
			});

	private static PoolActions ignoredActions() {
		return (PoolActions) Proxy.newProxyInstance(LeaseRenewalsTests.class.getClassLoader(),
				new Class<?>[] { PoolActions.class }, (proxy, method, arguments) -> null);
	}

	/** Guards against a takeover that starts nothing for the wait of idle endpoints. */
	@Test
	void onlyTheFirstReportIsRequestedWithoutAWait() {
		this.scheduler.endpointListed(ENDPOINT, 0);
		this.renewals.endpointListed(ENDPOINT);
		this.calls.answers.get(0).complete(Optional.of(new EndpointReport(1, 1, List.of(), List.of())));
		assertThat(this.calls.waitsMillis).containsExactly(0L, LeaseSettings.defaults().idleWaitMillis());
	}

	@Test
	void aNewOwnerWaitsForTheLongestLease() {
		assertThat(PoolSettings.defaults().leaseMaxMillis()).isEqualTo(LeaseSettings.defaults().maxLeaseMillis());
	}

	private static final class RecordingCalls implements EndpointCalls {

		private final List<Long> waitsMillis = new ArrayList<>();

		private final List<CompletableFuture<Optional<EndpointReport>>> answers = new ArrayList<>();

		@Override
		public CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
				String checkpoint, long fencingToken, long leaseEndMillis) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
				long acknowledgedNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis) {
			this.waitsMillis.add(waitMillis);
			this.answers.add(new CompletableFuture<>());
			return this.answers.get(this.answers.size() - 1);
		}

	}

}
