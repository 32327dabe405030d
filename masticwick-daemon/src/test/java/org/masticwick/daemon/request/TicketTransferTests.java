package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.InheritAnswer;
import org.masticwick.wire.PeerMessage.InheritTickets;
import org.masticwick.wire.PeerMessage.Pong;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TicketTransfer}.
 */
class TicketTransferTests {

	private static final byte[] DIGEST = { 7 };

	private static final long LIFETIME_MILLIS = 60_000;

	private final Host home = new Host(1);

	private final Host first = new Host(2);

	private final Host second = new Host(3);

	private final FakeTransport transport = new FakeTransport();

	private static HttpAnswer answer(String text) {
		return HttpAnswer.json(200, text.getBytes(StandardCharsets.UTF_8));
	}

	private TicketTransfer transfer() {
		return new TicketTransfer(this.home.books, new FakeDirectory(List.of(this.first.self, this.second.self)),
				this.transport, new Metrics(), TimeSource.system());
	}

	private Optional<TicketRegistry> bookAt(Host host) {
		return host.books.find(this.home.self.incarnation());
	}

	@Nested
	class HandingOver {

		@Test
		void letsTheHeirClaimWhatWasNotSubmitted() {
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			transfer().handOver().join();
			TicketRegistry inherited = bookAt(TicketTransferTests.this.first).orElseThrow();
			inherited.mint().verify(ticket);
			assertThat(inherited.claim(ticket, DIGEST)).get().extracting(TicketRegistry.Claim::created).isEqualTo(true);
			assertThat(TicketTransferTests.this.home.books.own().claim(ticket, DIGEST)).isEmpty();
		}

		@Test
		void tellsTheHeirTheAnswersThatWereGiven() {
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			claim(ticket).complete(answer("done"));
			transfer().handOver().join();
			JobEntry entry = bookAt(TicketTransferTests.this.first).orElseThrow().find(ticket);
			assertThat(entry.answer().join().body()).asString().isEqualTo("done");
			assertThat(entry.matchesBody(DIGEST)).isTrue();
		}

		@Test
		void sendsTheAnswersOfRunningJobsAfterwards() {
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			JobEntry running = claim(ticket);
			CompletableFuture<Void> delivered = transfer().handOver();
			JobEntry inherited = bookAt(TicketTransferTests.this.first).orElseThrow().find(ticket);
			assertThat(inherited.runsAt()).isEqualTo(TicketTransferTests.this.home.self);
			assertThat(delivered).isNotDone();
			running.complete(answer("late"));
			delivered.join();
			assertThat(inherited.answer().join().body()).asString().isEqualTo("late");
		}

		@Test
		void deliversAMemoryOfAnswersThatDoesNotFitIntoOneMessage() {
			int jobCount = 40;
			List<Ticket> tickets = TicketTransferTests.this.home.books.issue(jobCount);
			tickets.forEach((ticket) -> claim(ticket).complete(answer("x".repeat(512 * 1024))));
			transfer().handOver().join();
			TicketRegistry inherited = bookAt(TicketTransferTests.this.first).orElseThrow();
			assertThat(tickets).allSatisfy((ticket) -> assertThat(inherited.find(ticket).answer()).isDone());
			assertThat(TicketTransferTests.this.transport.partCount).isGreaterThan(1);
		}

		@Test
		void passesInheritedBooksOn() {
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			transfer().handOver().join();
			new TicketTransfer(TicketTransferTests.this.first.books,
					new FakeDirectory(List.of(TicketTransferTests.this.second.self)),
					TicketTransferTests.this.transport, new Metrics(), TimeSource.system())
				.handOver()
				.join();
			assertThat(bookAt(TicketTransferTests.this.first).orElseThrow().claim(ticket, DIGEST)).isEmpty();
			assertThat(bookAt(TicketTransferTests.this.second).orElseThrow().claim(ticket, DIGEST)).isPresent();
		}

		@Test
		void tellsTheHeirsHeirWhereAnInheritedJobRuns() {
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			transfer().handOver().join();
			bookAt(TicketTransferTests.this.first).orElseThrow().claim(ticket, DIGEST);
			new TicketTransfer(TicketTransferTests.this.first.books,
					new FakeDirectory(List.of(TicketTransferTests.this.second.self)),
					TicketTransferTests.this.transport, new Metrics(), TimeSource.system())
				.handOver();
			JobEntry entry = bookAt(TicketTransferTests.this.second).orElseThrow().find(ticket);
			assertThat(entry.runsAt()).isEqualTo(TicketTransferTests.this.first.self);
		}

		private JobEntry claim(Ticket ticket) {
			return TicketTransferTests.this.home.books.own().claim(ticket, DIGEST).orElseThrow().entry();
		}

	}

	@Nested
	class Staging {

		@Test
		void takesNothingOverIfAPartIsMissing() {
			TicketTransferTests.this.home.books.issue(1);
			InheritTickets last = new InheritTickets(TicketTransferTests.this.home.self,
					TicketTransferTests.this.home.self, 0, 1, TicketKey.random().toBytes(), Long.MAX_VALUE, List.of(),
					2);
			assertThat(TicketTransferTests.this.first.handle(last)).isEqualTo(new InheritAnswer(false));
			assertThat(bookAt(TicketTransferTests.this.first)).isEmpty();
		}

		@Test
		void forgetsAnswersForWhichThereIsNoMemoryButNotTheirTickets() {
			Host small = new Host(4, 1_000);
			Ticket ticket = TicketTransferTests.this.home.books.issue(1).get(0);
			TicketTransferTests.this.home.books.own()
				.claim(ticket, DIGEST)
				.orElseThrow()
				.entry()
				.complete(answer("x".repeat(100_000)));
			Offer offer = Offer.of(TicketTransferTests.this.home.books.own(), TicketTransferTests.this.home.self);
			small.handle(offer.last());
			JobEntry entry = bookAt(small).orElseThrow().claim(ticket, DIGEST).orElseThrow().entry();
			assertThat(entry.answer().join().status()).isEqualTo(410);
		}

	}

	@Nested
	class Failing {

		@ParameterizedTest
		@EnumSource(Fault.class)
		void triesASecondHeirOnlyIfTheFirstCertainlyHasNothing(Fault fault) {
			TicketTransferTests.this.home.books.issue(1);
			TicketTransferTests.this.transport.faults.put(TicketTransferTests.this.first.self.peerAddress(),
					fault.answer);
			transfer().handOver().join();
			assertThat(bookAt(TicketTransferTests.this.second).isPresent()).isEqualTo(fault.secondHeir);
			assertThat(TicketTransferTests.this.home.books.own().held()).isFalse();
		}

	}

	/**
	 * Lists how an offer to an heir can fail.
	 */
	enum Fault {

		REFUSED((message) -> CompletableFuture.completedFuture(new InheritAnswer(false)), true),

		NOT_SENT((message) -> CompletableFuture.failedFuture(new PeerException("refused", null, false)), true),

		SENT_WITHOUT_ANSWER((message) -> CompletableFuture.failedFuture(new PeerException("silent", null, true)),
				false);

		private final Function<PeerMessage, CompletableFuture<PeerMessage>> answer;

		private final boolean secondHeir;

		Fault(Function<PeerMessage, CompletableFuture<PeerMessage>> answer, boolean secondHeir) {
			this.answer = answer;
			this.secondHeir = secondHeir;
		}

	}

	/**
	 * Is an entry host as far as tickets go.
	 */
	private final class Host {

		private final EntryHost self;

		private final TicketRegistries books;

		private TicketTransfer receiving;

		private Host(int number) {
			this(number, Integer.MAX_VALUE);
		}

		private Host(int number, long rememberedBytes) {
			this.self = new EntryHost("hobart", new HostAddress("127.0.0.1", 7200 + number),
					new Incarnation(1, number));
			this.books = new TicketRegistries(new TicketFactory(this.self, TicketKey.random(), 0), TimeSource.system(),
					LIFETIME_MILLIS, rememberedBytes);
		}

		private PeerMessage handle(PeerMessage message) {
			if (this.receiving == null) {
				this.receiving = new TicketTransfer(this.books, new FakeDirectory(List.of()),
						TicketTransferTests.this.transport, new Metrics(), TimeSource.system());
			}
			if (message instanceof InheritTickets offered) {
				return this.receiving.inherit(offered);
			}
			this.receiving.close((CloseTickets) message);
			return new Pong();
		}

	}

	/**
	 * Carries messages between the hosts of the test.
	 */
	private final class FakeTransport extends CallOnlyTransport {

		private final Map<HostAddress, Function<PeerMessage, CompletableFuture<PeerMessage>>> faults = new HashMap<>();

		private int partCount;

		@Override
		public CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request) {
			this.partCount += (request instanceof InheritTickets) ? 1 : 0;
			if (this.faults.containsKey(to)) {
				return this.faults.get(to).apply(request);
			}
			List<Host> hosts = new ArrayList<>(
					List.of(TicketTransferTests.this.first, TicketTransferTests.this.second));
			return hosts.stream()
				.filter((host) -> host.self.peerAddress().equals(to))
				.findFirst()
				.map((host) -> CompletableFuture.supplyAsync(() -> host.handle(request)))
				.orElseThrow();
		}

	}

	/**
	 * Knows only the candidates.
	 *
	 * @param candidates the hosts that could take tickets over, best first
	 */
	private record FakeDirectory(List<EntryHost> candidates) implements PeerDirectory {

		@Override
		public Optional<HostAddress> holderOf(Incarnation incarnation) {
			return Optional.empty();
		}

		@Override
		public boolean isLost(EntryHost host) {
			return false;
		}

		@Override
		public List<EntryHost> reachableHosts(String domain) {
			return List.of();
		}

		@Override
		public List<EntryHost> successorCandidates() {
			return this.candidates;
		}

	}

}
