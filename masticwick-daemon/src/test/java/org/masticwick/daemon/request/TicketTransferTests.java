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

	private final Host issuer = new Host(1);

	private final Host firstCandidate = new Host(2);

	private final Host secondCandidate = new Host(3);

	private final FakeTransport transport = new FakeTransport();

	private static HttpAnswer answer(String text) {
		return HttpAnswer.json(200, text.getBytes(StandardCharsets.UTF_8));
	}

	private TicketTransfer transfer() {
		return new TicketTransfer(this.issuer.registries,
				new FakeDirectory(List.of(this.firstCandidate.self, this.secondCandidate.self)), this.transport,
				new Metrics(), TimeSource.system());
	}

	private Optional<TicketRegistry> registryAt(Host host) {
		return host.registries.find(this.issuer.self.incarnation());
	}

	@Nested
	class HandingOver {

		@Test
		void allowsOnlyTheSuccessorToClaimUnsubmittedTickets() {
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			transfer().handOver().join();
			TicketRegistry inherited = registryAt(TicketTransferTests.this.firstCandidate).orElseThrow();
			inherited.ticketFactory().verify(ticket);
			assertThat(inherited.claim(ticket, DIGEST)).get().extracting(TicketRegistry.Claim::created).isEqualTo(true);
			assertThat(TicketTransferTests.this.issuer.registries.ownRegistry().claim(ticket, DIGEST)).isEmpty();
		}

		@Test
		void transfersExistingAnswers() {
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			claim(ticket).complete(answer("done"));
			transfer().handOver().join();
			JobEntry entry = registryAt(TicketTransferTests.this.firstCandidate).orElseThrow().find(ticket);
			assertThat(entry.answer().join().body()).asString().isEqualTo("done");
			assertThat(entry.matchesBody(DIGEST)).isTrue();
		}

		@Test
		void sendsTheAnswersOfRunningJobsAfterwards() {
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			JobEntry running = claim(ticket);
			CompletableFuture<Void> delivered = transfer().handOver();
			JobEntry inherited = registryAt(TicketTransferTests.this.firstCandidate).orElseThrow().find(ticket);
			assertThat(inherited.runningHost()).isEqualTo(TicketTransferTests.this.issuer.self);
			assertThat(delivered).isNotDone();
			running.complete(answer("late"));
			delivered.join();
			assertThat(inherited.answer().join().body()).asString().isEqualTo("late");
		}

		@Test
		void splitsAnswersThatDoNotFitIntoOneMessage() {
			int jobCount = 40;
			List<Ticket> tickets = TicketTransferTests.this.issuer.registries.issue(jobCount);
			tickets.forEach((ticket) -> claim(ticket).complete(answer("x".repeat(512 * 1024))));
			transfer().handOver().join();
			TicketRegistry inherited = registryAt(TicketTransferTests.this.firstCandidate).orElseThrow();
			assertThat(tickets).allSatisfy((ticket) -> assertThat(inherited.find(ticket).answer()).isDone());
			assertThat(TicketTransferTests.this.transport.partCount).isGreaterThan(1);
		}

		@Test
		void handsInheritedRegistriesOver() {
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			transfer().handOver().join();
			new TicketTransfer(TicketTransferTests.this.firstCandidate.registries,
					new FakeDirectory(List.of(TicketTransferTests.this.secondCandidate.self)),
					TicketTransferTests.this.transport, new Metrics(), TimeSource.system())
				.handOver()
				.join();
			assertThat(registryAt(TicketTransferTests.this.firstCandidate).orElseThrow().claim(ticket, DIGEST))
				.isEmpty();
			assertThat(registryAt(TicketTransferTests.this.secondCandidate).orElseThrow().claim(ticket, DIGEST))
				.isPresent();
		}

		@Test
		void transfersTheRunningHostOfAnInheritedJob() {
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			transfer().handOver().join();
			registryAt(TicketTransferTests.this.firstCandidate).orElseThrow().claim(ticket, DIGEST);
			new TicketTransfer(TicketTransferTests.this.firstCandidate.registries,
					new FakeDirectory(List.of(TicketTransferTests.this.secondCandidate.self)),
					TicketTransferTests.this.transport, new Metrics(), TimeSource.system())
				.handOver();
			JobEntry entry = registryAt(TicketTransferTests.this.secondCandidate).orElseThrow().find(ticket);
			assertThat(entry.runningHost()).isEqualTo(TicketTransferTests.this.firstCandidate.self);
		}

		private JobEntry claim(Ticket ticket) {
			return TicketTransferTests.this.issuer.registries.ownRegistry().claim(ticket, DIGEST).orElseThrow().entry();
		}

	}

	@Nested
	class Staging {

		@Test
		void refusesATransferWithAMissingPart() {
			TicketTransferTests.this.issuer.registries.issue(1);
			InheritTickets last = new InheritTickets(TicketTransferTests.this.issuer.self,
					TicketTransferTests.this.issuer.self, 0, 1, TicketKey.random().toBytes(), Long.MAX_VALUE, List.of(),
					2);
			assertThat(TicketTransferTests.this.firstCandidate.handle(last)).isEqualTo(new InheritAnswer(false));
			assertThat(registryAt(TicketTransferTests.this.firstCandidate)).isEmpty();
		}

		@Test
		void dropsAnswersBeyondTheMemoryLimitButKeepsTheirTickets() {
			Host smallHost = new Host(4, 1_000);
			Ticket ticket = TicketTransferTests.this.issuer.registries.issue(1).get(0);
			TicketTransferTests.this.issuer.registries.ownRegistry()
				.claim(ticket, DIGEST)
				.orElseThrow()
				.entry()
				.complete(answer("x".repeat(100_000)));
			TicketOffer offer = TicketOffer.of(TicketTransferTests.this.issuer.registries.ownRegistry(),
					TicketTransferTests.this.issuer.self);
			smallHost.handle(offer.lastMessage());
			JobEntry entry = registryAt(smallHost).orElseThrow().claim(ticket, DIGEST).orElseThrow().entry();
			assertThat(entry.answer().join().status()).isEqualTo(410);
		}

	}

	@Nested
	class Failing {

		@ParameterizedTest
		@EnumSource(Fault.class)
		void triesTheSecondCandidateOnlyIfTheFirstCertainlyDidNotInherit(Fault fault) {
			TicketTransferTests.this.issuer.registries.issue(1);
			TicketTransferTests.this.transport.faults.put(TicketTransferTests.this.firstCandidate.self.peerAddress(),
					fault.answer);
			transfer().handOver().join();
			assertThat(registryAt(TicketTransferTests.this.secondCandidate).isPresent())
				.isEqualTo(fault.secondCandidateInherits);
			assertThat(TicketTransferTests.this.issuer.registries.ownRegistry().held()).isFalse();
		}

	}

	/**
	 * Lists how the transfer to a candidate can fail, and whether the next candidate may
	 * be tried.
	 */
	enum Fault {

		REFUSED((message) -> CompletableFuture.completedFuture(new InheritAnswer(false)), true),

		NOT_SENT((message) -> CompletableFuture.failedFuture(new PeerException("refused", null, false)), true),

		SENT_WITHOUT_ANSWER((message) -> CompletableFuture.failedFuture(new PeerException("silent", null, true)),
				false);

		private final Function<PeerMessage, CompletableFuture<PeerMessage>> answer;

		private final boolean secondCandidateInherits;

		Fault(Function<PeerMessage, CompletableFuture<PeerMessage>> answer, boolean secondCandidateInherits) {
			this.answer = answer;
			this.secondCandidateInherits = secondCandidateInherits;
		}

	}

	/**
	 * Entry host that only stores tickets and handles transfer messages.
	 */
	private final class Host {

		private final EntryHost self;

		private final TicketRegistries registries;

		private TicketTransfer receivingTransfer;

		private Host(int number) {
			this(number, Integer.MAX_VALUE);
		}

		private Host(int number, long rememberedBytes) {
			this.self = new EntryHost("hobart", new HostAddress("127.0.0.1", 7200 + number),
					new Incarnation(1, number));
			this.registries = new TicketRegistries(new TicketFactory(this.self, TicketKey.random(), 0),
					TimeSource.system(), LIFETIME_MILLIS, rememberedBytes);
		}

		private PeerMessage handle(PeerMessage message) {
			if (this.receivingTransfer == null) {
				this.receivingTransfer = new TicketTransfer(this.registries, new FakeDirectory(List.of()),
						TicketTransferTests.this.transport, new Metrics(), TimeSource.system());
			}
			if (message instanceof InheritTickets offered) {
				return this.receivingTransfer.inherit(offered);
			}
			this.receivingTransfer.close((CloseTickets) message);
			return new Pong();
		}

	}

	/**
	 * Passes calls directly to the candidates, unless the test sets a fault for a host.
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
					List.of(TicketTransferTests.this.firstCandidate, TicketTransferTests.this.secondCandidate));
			return hosts.stream()
				.filter((host) -> host.self.peerAddress().equals(to))
				.findFirst()
				.map((host) -> CompletableFuture.supplyAsync(() -> host.handle(request)))
				.orElseThrow();
		}

	}

	/**
	 * Lists only the candidates.
	 *
	 * @param candidates the hosts that can inherit tickets, the most suitable first
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
		public boolean mayHaveSuccessor(Incarnation incarnation) {
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
