package org.masticwick.daemon.request;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link TicketRegistry}.
 */
class TicketRegistryTests {

	private static final EntryHost ISSUER = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final byte[] DIGEST = { 1, 2, 3 };

	private static final long EXPIRY_EPOCH_MILLIS = 1_000;

	private final ManualTime time = new ManualTime();

	private final TicketFactory ticketFactory = new TicketFactory(ISSUER, TicketKey.random(), 0);

	private final TicketRegistry registry = new TicketRegistry(this.ticketFactory, this.time, 0);

	private Ticket ticket() {
		return this.ticketFactory.issue(1, EXPIRY_EPOCH_MILLIS).get(0);
	}

	@Nested
	class Claiming {

		@Test
		void createsTheEntryOnce() {
			Ticket ticket = ticket();
			TicketRegistry.Claim first = TicketRegistryTests.this.registry.claim(ticket, DIGEST).orElseThrow();
			TicketRegistry.Claim second = TicketRegistryTests.this.registry.claim(ticket, DIGEST).orElseThrow();
			assertThat(first.created()).isTrue();
			assertThat(second.created()).isFalse();
			assertThat(second.entry()).isSameAs(first.entry());
		}

		@ParameterizedTest
		@ValueSource(longs = { EXPIRY_EPOCH_MILLIS, EXPIRY_EPOCH_MILLIS + 1 })
		void isRefusedOnceTheTicketHasExpired(long nowEpochMillis) {
			Ticket ticket = ticket();
			TicketRegistryTests.this.time.epochMillis = nowEpochMillis;
			assertThatExceptionOfType(RequestException.class)
				.isThrownBy(() -> TicketRegistryTests.this.registry.claim(ticket, DIGEST))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.OUTCOME_FORGOTTEN));
		}

		@Test
		void usesTheClockOfTheIssuer() {
			Ticket ticket = ticket();
			TicketRegistry inherited = new TicketRegistry(TicketRegistryTests.this.ticketFactory,
					TicketRegistryTests.this.time, 500);
			TicketRegistryTests.this.time.epochMillis = 499;
			assertThat(inherited.claim(ticket, DIGEST)).isPresent();
			TicketRegistryTests.this.time.epochMillis = 500;
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> inherited.claim(ticket, DIGEST));
		}

	}

	@Nested
	class HandingOver {

		@Test
		void refusesNewClaims() {
			TicketRegistryTests.this.registry.handOver();
			assertThat(TicketRegistryTests.this.registry.claim(ticket(), DIGEST)).isEmpty();
		}

		@Test
		void returnsExistingEntries() {
			Ticket ticket = ticket();
			TicketRegistryTests.this.registry.claim(ticket, DIGEST);
			TicketRegistryTests.this.registry.handOver();
			Optional<TicketRegistry.Claim> claim = TicketRegistryTests.this.registry.claim(ticket, DIGEST);
			assertThat(claim).get().extracting(TicketRegistry.Claim::created).isEqualTo(false);
		}

		@Test
		void happensOnce() {
			assertThat(TicketRegistryTests.this.registry.handOver()).isTrue();
			assertThat(TicketRegistryTests.this.registry.handOver()).isFalse();
		}

		@Test
		void includesEveryConcurrentClaim() throws Exception {
			ExecutorService threads = Executors.newFixedThreadPool(2);
			try {
				for (int i = 0; i < 2_000; i++) {
					TicketRegistry racedRegistry = new TicketRegistry(TicketRegistryTests.this.ticketFactory,
							TicketRegistryTests.this.time, 0);
					Ticket ticket = ticket();
					CountDownLatch startSignal = new CountDownLatch(1);
					Future<Boolean> claimed = threads.submit(() -> {
						startSignal.await();
						return racedRegistry.claim(ticket, DIGEST).isPresent();
					});
					Future<Integer> entryCount = threads.submit(() -> {
						startSignal.await();
						racedRegistry.handOver();
						AtomicInteger count = new AtomicInteger();
						racedRegistry.forEach((sequence, entry) -> count.incrementAndGet());
						return count.get();
					});
					startSignal.countDown();
					assertThat(entryCount.get()).isEqualTo(claimed.get() ? 1 : 0);
				}
			}
			finally {
				threads.shutdownNow();
			}
		}

	}

	@Nested
	class RemovingExpiredEntries {

		@Test
		void requiresExpiryAndAnswer() {
			Ticket ticket = ticket();
			JobEntry entry = TicketRegistryTests.this.registry.claim(ticket, DIGEST).orElseThrow().entry();
			TicketRegistryTests.this.time.epochMillis = EXPIRY_EPOCH_MILLIS;
			TicketRegistryTests.this.registry.removeExpired();
			assertThat(TicketRegistryTests.this.registry.entryCount()).isEqualTo(1);
			entry.complete(Answers.running("t"));
			TicketRegistryTests.this.registry.removeExpired();
			assertThat(TicketRegistryTests.this.registry.entryCount()).isZero();
		}

		// A submission that was paused after the check of the expiry found no entry, and
		// the job was started a second time.
		@Test
		void letsNoSubmissionThatCameBeforeTheExpiryCreateTheEntryAgain() {
			Ticket ticket = ticket();
			TicketRegistryTests.this.registry.claim(ticket, DIGEST)
				.orElseThrow()
				.entry()
				.complete(Answers.running("t"));
			TicketRegistryTests.this.time.pauseAfterNextReading(() -> {
				TicketRegistryTests.this.time.epochMillis = EXPIRY_EPOCH_MILLIS;
				TicketRegistryTests.this.registry.removeExpired();
			});
			assertThatExceptionOfType(RequestException.class)
				.isThrownBy(() -> TicketRegistryTests.this.registry.claim(ticket, DIGEST))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.OUTCOME_FORGOTTEN));
			assertThat(TicketRegistryTests.this.registry.entryCount()).isZero();
		}

	}

	/**
	 * Clock that changes only when the test sets it.
	 */
	private static final class ManualTime implements TimeSource {

		private volatile long epochMillis;

		private Runnable pause = () -> {
		};

		/**
		 * Lets the reader of the clock pause after the next reading.
		 * @param action what happens during the pause
		 */
		void pauseAfterNextReading(Runnable action) {
			this.pause = action;
		}

		@Override
		public long nanoTime() {
			return this.epochMillis * 1_000_000;
		}

		@Override
		public long epochMillis() {
			long reading = this.epochMillis;
			Runnable action = this.pause;
			this.pause = () -> {
			};
			action.run();
			return reading;
		}

	}

}
