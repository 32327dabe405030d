package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointProbe}.
 */
class EndpointProbeTests {

	private final RecordedCalls calls = new RecordedCalls();

	private final EndpointProbe probe = new EndpointProbe(this.calls);

	private final List<EndpointEntry> endpoints = IntStream.range(0, 8)
		.mapToObj((number) -> entry("e" + number, "d" + number % 2))
		.toList();

	private static EndpointEntry entry(String id, String domain) {
		return new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80), domain, true,
				new Resources(1_000, 1_000, 0), Set.of(), 1);
	}

	private boolean isReachable(long nowMillis) {
		return this.probe.isReachable("d1", this.endpoints, nowMillis);
	}

	@Test
	void aFailureDomainIsReachableWhileAnswersAreFresh() {
		assertThat(isReachable(10_000)).isFalse();
		this.calls.answers.get(1).complete(Optional.empty());
		assertThat(isReachable(10_100)).isTrue();
		assertThat(isReachable(10_000 + EndpointProbe.VALIDITY_MILLIS)).isTrue();
		assertThat(isReachable(10_001 + EndpointProbe.VALIDITY_MILLIS)).isFalse();
	}

	@Test
	void aFailureDomainIsNotReachableIfAllCallsFail() {
		isReachable(10_000);
		this.calls.answers.forEach(
				(answer) -> answer.completeExceptionally(new CallException(CallException.Code.TIMEOUT, "No answer")));
		assertThat(isReachable(10_100)).isFalse();
	}

	@Test
	void aFailureDomainWithoutEndpointsIsNotReachable() {
		assertThat(this.probe.isReachable("d3", this.endpoints, 10_000)).isFalse();
		assertThat(this.calls.endpointIds).isEmpty();
	}

	@Test
	void callsAreFewAndTakeTurns() {
		isReachable(10_000);
		isReachable(10_100);
		assertThat(this.calls.endpointIds).containsExactly("e1", "e3", "e5");
		isReachable(10_000 + EndpointProbe.INTERVAL_MILLIS);
		assertThat(this.calls.endpointIds).containsExactly("e1", "e3", "e5", "e7", "e1", "e3");
	}

	/** An effect on an endpoint of another owner would end runs of that one. */
	@Test
	void callsHaveNoEffect() {
		isReachable(10_000);
		assertThat(this.calls.effects).containsOnly("token 0, acknowledges 0, lease OptionalLong.empty, wait 0");
	}

	private static final class RecordedCalls implements EndpointCalls {

		private final List<String> endpointIds = new ArrayList<>();

		private final List<String> effects = new ArrayList<>();

		private final List<CompletableFuture<Optional<EndpointReport>>> answers = new ArrayList<>();

		@Override
		public CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
				String checkpoint, long fencingToken, long leaseEndMillis) {
			throw new IllegalStateException("A probe starts nothing");
		}

		@Override
		public CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken) {
			throw new IllegalStateException("A probe stops nothing");
		}

		@Override
		public CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
				long acknowledgedTerminationNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis) {
			this.endpointIds.add(endpoint.id());
			this.effects.add("token " + fencingToken + ", acknowledges " + acknowledgedTerminationNumber + ", lease "
					+ leaseEndMillis + ", wait " + waitMillis);
			CompletableFuture<Optional<EndpointReport>> answer = new CompletableFuture<>();
			this.answers.add(answer);
			return answer;
		}

	}

}
