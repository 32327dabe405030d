package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.ErrorAnswer;
import org.masticwick.wire.PeerMessage.Forward;
import org.masticwick.wire.PeerMessage.ForwardAnswer;
import org.masticwick.wire.PeerMessage.ForwardOperation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestRouter}.
 */
class RequestRouterTests {

	private static final byte[] BODY = "{\"service\":\"s\",\"team\":\"t\",\"tasks\":[{\"kind\":\"k\"}]}"
		.getBytes(StandardCharsets.UTF_8);

	private static final String FROM_PEER = "from the peer";

	private static final long WAIT_MILLIS = 5_000;

	private static final long ROUTE_LIMIT_MILLIS = 2_000;

	private final EntryHost self = host("hobart", 1);

	private final EntryHost issuer = host("hobart", 2);

	private final FakeTransport transport = new FakeTransport();

	private final FakeDirectory directory = new FakeDirectory();

	private final TicketRegistries registries = new TicketRegistries(
			new TicketFactory(this.self, TicketKey.random(), 0), TimeSource.system(), WAIT_MILLIS, Long.MAX_VALUE);

	private final RequestRouter router = router();

	private static EntryHost host(String domain, int number) {
		return new EntryHost(domain, new HostAddress("127.0.0.1", 7200 + number), new Incarnation(1, number));
	}

	private RequestRouter router() {
		TimeSource time = TimeSource.system();
		Metrics metrics = new Metrics();
		JobRequestReader reader = new JobRequestReader(new RequestLimits(1_000, 100, 10, 1_000, 1_000, 1_000));
		ResultCollector collector = new ResultCollector(reader, () -> SiteVersion.EMPTY,
				new TaskFinder(null, metrics, time), time, (ticket, answer) -> {
				});
		JobService jobs = new JobService(reader, null, () -> false, () -> false, time);
		return new RequestRouter(this.self, this.registries, new TicketIssuer(this.registries, 10), jobs, collector,
				this.directory, this.transport, metrics, time, ROUTE_LIMIT_MILLIS);
	}

	private RoutedRequest submission(EntryHost issuer) {
		Ticket ticket = new TicketFactory(issuer, TicketKey.random(), 0).issue(1, Long.MAX_VALUE / 2).get(0);
		return new RoutedRequest(ForwardOperation.SUBMIT, ticket, BODY, WAIT_MILLIS);
	}

	private String serve(RoutedRequest request) throws Exception {
		HttpAnswer answer = this.router.serve(request).get(WAIT_MILLIS * 2, TimeUnit.MILLISECONDS);
		return new String(answer.body(), StandardCharsets.UTF_8);
	}

	private PeerMessage serveForwarded(RoutedRequest request) throws Exception {
		return this.router.serveForwarded(request).toCompletableFuture().get(WAIT_MILLIS * 2, TimeUnit.MILLISECONDS);
	}

	private static CompletableFuture<PeerMessage> answer() {
		return CompletableFuture.completedFuture(new ForwardAnswer(200, HttpAnswer.JSON,
				FROM_PEER.getBytes(StandardCharsets.UTF_8), HttpAnswer.NO_RETRY));
	}

	@Nested
	class Serving {

		@Test
		void answersForItsOwnTickets() throws Exception {
			Ticket ticket = RequestRouterTests.this.registries.issue(1).get(0);
			assertThat(serve(new RoutedRequest(ForwardOperation.STATE, ticket, new byte[0], WAIT_MILLIS)))
				.contains("ticket-unused");
			assertThat(RequestRouterTests.this.transport.calls).isEmpty();
		}

		@Test
		void forwardsToTheHolder() throws Exception {
			RequestRouterTests.this.directory.holder = RequestRouterTests.this.issuer.peerAddress();
			RequestRouterTests.this.transport.answers.put(RequestRouterTests.this.issuer.peerAddress(),
					(message) -> answer());
			assertThat(serve(submission(RequestRouterTests.this.issuer))).isEqualTo(FROM_PEER);
		}

		@Test
		void collectsWhenTheHolderIsLost() throws Exception {
			RequestRouterTests.this.directory.lost = true;
			RequestRouterTests.this.directory.reachable = List.of(RequestRouterTests.this.self);
			assertThat(serve(submission(RequestRouterTests.this.issuer))).contains("home-lost", "\"ran\":\"unknown\"");
		}

		/**
		 * Guards against a caller that gets home-lost in a planned stop, because this
		 * host has not heard yet which host holds the tickets now.
		 */
		@Test
		void waitsForTheSuccessorOfAHostThatAnnouncedItsShutdown() throws Exception {
			EntryHost successor = host("hobart", 5);
			RequestRouterTests.this.directory.lost = true;
			RequestRouterTests.this.directory.successorExpected = true;
			RequestRouterTests.this.directory.reachable = List.of(RequestRouterTests.this.self);
			RequestRouterTests.this.transport.answers.put(successor.peerAddress(), (message) -> answer());
			CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS)
				.execute(() -> RequestRouterTests.this.directory.holder = successor.peerAddress());
			assertThat(serve(submission(RequestRouterTests.this.issuer))).isEqualTo(FROM_PEER);
		}

		@Test
		void collectsIfNoSuccessorBecomesKnownInTime() throws Exception {
			RequestRouterTests.this.directory.lost = true;
			RequestRouterTests.this.directory.successorExpected = true;
			RequestRouterTests.this.directory.reachable = List.of(RequestRouterTests.this.self);
			assertThat(serve(submission(RequestRouterTests.this.issuer))).contains("home-lost");
		}

		@Test
		void forwardsTheCollectionToTheIssuersDomain() throws Exception {
			EntryHost domainHost = host("launceston", 3);
			RequestRouterTests.this.directory.lost = true;
			RequestRouterTests.this.directory.reachable = List.of(domainHost);
			RequestRouterTests.this.transport.answers.put(domainHost.peerAddress(), (message) -> answer());
			assertThat(serve(submission(host("launceston", 4)))).isEqualTo(FROM_PEER);
			assertThat(RequestRouterTests.this.transport.calls).extracting(Forward::operation)
				.containsExactly(ForwardOperation.COLLECT);
		}

		@Test
		void reportsAnUnknownOutcomeIfNoHostIsReachable() throws Exception {
			RequestRouterTests.this.directory.lost = true;
			assertThat(serve(submission(RequestRouterTests.this.issuer))).contains("outcome-unknown",
					"\"ran\":\"unknown\"", "retry_after_ms");
		}

		@Test
		void reportsAnUnknownOutcomeIfTheHolderIsUnresponsive() throws Exception {
			RequestRouterTests.this.directory.holder = RequestRouterTests.this.issuer.peerAddress();
			RequestRouterTests.this.transport.answers.put(RequestRouterTests.this.issuer.peerAddress(),
					(message) -> CompletableFuture.failedFuture(new PeerException("silent", null, true)));
			assertThat(serve(submission(RequestRouterTests.this.issuer))).contains("outcome-unknown");
		}

	}

	@Nested
	class ServingForwardedRequests {

		@Test
		void returnsAnErrorForATicketThatItDoesNotHold() throws Exception {
			assertThat(serveForwarded(submission(RequestRouterTests.this.issuer))).isInstanceOf(ErrorAnswer.class);
		}

		@Test
		void collectsForALostIssuer() throws Exception {
			RoutedRequest request = submission(RequestRouterTests.this.issuer).withOperation(ForwardOperation.COLLECT);
			assertThat(serveForwarded(request)).isInstanceOfSatisfying(ForwardAnswer.class,
					(answer) -> assertThat(answer.status()).isEqualTo(502));
		}

		/**
		 * Guards against home-lost while a holder hands the tickets over: it refuses the
		 * request, and its successor becomes known a moment later.
		 */
		@Test
		void asksTheSuccessorOfAHolderThatHandsItsTicketsOver() throws Exception {
			EntryHost successor = host("hobart", 5);
			HostAddress leavingHolder = RequestRouterTests.this.issuer.peerAddress();
			RequestRouterTests.this.directory.holder = leavingHolder;
			RequestRouterTests.this.transport.answers.put(leavingHolder, (message) -> {
				RequestRouterTests.this.directory.holder = successor.peerAddress();
				return CompletableFuture.completedFuture(new ErrorAnswer("not-holder", "handed over"));
			});
			RequestRouterTests.this.transport.answers.put(successor.peerAddress(), (message) -> answer());
			RoutedRequest request = submission(RequestRouterTests.this.issuer).withOperation(ForwardOperation.COLLECT);
			assertThat(serveForwarded(request)).isInstanceOfSatisfying(ForwardAnswer.class,
					(answer) -> assertThat(answer.body()).asString().isEqualTo(FROM_PEER));
		}

		@Test
		void forwardsToAHolderThatOnlyTheRequestingHostCannotReach() throws Exception {
			RequestRouterTests.this.directory.holder = RequestRouterTests.this.issuer.peerAddress();
			RequestRouterTests.this.transport.answers.put(RequestRouterTests.this.issuer.peerAddress(),
					(message) -> answer());
			RoutedRequest request = submission(RequestRouterTests.this.issuer).withOperation(ForwardOperation.COLLECT);
			assertThat(serveForwarded(request)).isInstanceOfSatisfying(ForwardAnswer.class,
					(answer) -> assertThat(answer.body()).asString().isEqualTo(FROM_PEER));
			assertThat(RequestRouterTests.this.transport.calls).extracting(Forward::operation)
				.containsExactly(ForwardOperation.SUBMIT);
		}

	}

	/**
	 * Answers calls with the functions that the test sets for each host, and records the
	 * calls.
	 */
	private static final class FakeTransport extends CallOnlyTransport {

		private final Map<HostAddress, Function<PeerMessage, CompletableFuture<PeerMessage>>> answers = new HashMap<>();

		private final List<Forward> calls = new ArrayList<>();

		@Override
		public synchronized CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request) {
			this.calls.add((Forward) request);
			return this.answers.get(to).apply(request);
		}

	}

	/**
	 * Returns the values that the test sets.
	 */
	private static final class FakeDirectory implements PeerDirectory {

		private volatile HostAddress holder;

		private boolean lost;

		private boolean successorExpected;

		private List<EntryHost> reachable = List.of();

		@Override
		public Optional<HostAddress> holderOf(Incarnation incarnation) {
			return Optional.ofNullable(this.holder);
		}

		@Override
		public boolean isLost(EntryHost host) {
			return this.lost;
		}

		@Override
		public boolean mayHaveSuccessor(Incarnation incarnation) {
			return this.successorExpected;
		}

		@Override
		public List<EntryHost> reachableHosts(String domain) {
			return this.reachable;
		}

		@Override
		public List<EntryHost> successorCandidates() {
			return List.of();
		}

	}

}
