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
class TicketBookTests {

	private static final EntryHost HOME = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final byte[] DIGEST = { 1, 2, 3 };

	private static final long EXPIRY_EPOCH_MILLIS = 1_000;

	private final ManualTime time = new ManualTime();

	private final TicketFactory mint = new TicketFactory(HOME, TicketKey.random(), 0);

	private final TicketRegistry book = new TicketRegistry(this.mint, this.time, 0);

	private Ticket ticket() {
		return this.mint.issue(1, EXPIRY_EPOCH_MILLIS).get(0);
	}

	@Nested
	class Claiming {

		@Test
		void createsTheEntryOnce() {
			Ticket ticket = ticket();
			TicketRegistry.Claim first = TicketBookTests.this.book.claim(ticket, DIGEST).orElseThrow();
			TicketRegistry.Claim second = TicketBookTests.this.book.claim(ticket, DIGEST).orElseThrow();
			assertThat(first.created()).isTrue();
			assertThat(second.created()).isFalse();
			assertThat(second.entry()).isSameAs(first.entry());
		}

		@ParameterizedTest
		@ValueSource(longs = { EXPIRY_EPOCH_MILLIS, EXPIRY_EPOCH_MILLIS + 1 })
		void isRefusedOnceTheTicketHasExpired(long nowEpochMillis) {
			Ticket ticket = ticket();
			TicketBookTests.this.time.epochMillis = nowEpochMillis;
			assertThatExceptionOfType(RequestException.class)
				.isThrownBy(() -> TicketBookTests.this.book.claim(ticket, DIGEST))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.OUTCOME_FORGOTTEN));
		}

		@Test
		void goesByTheClockOfTheHome() {
			Ticket ticket = ticket();
			TicketRegistry inherited = new TicketRegistry(TicketBookTests.this.mint, TicketBookTests.this.time, 500);
			TicketBookTests.this.time.epochMillis = 499;
			assertThat(inherited.claim(ticket, DIGEST)).isPresent();
			TicketBookTests.this.time.epochMillis = 500;
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> inherited.claim(ticket, DIGEST));
		}

	}

	@Nested
	class HandingOver {

		@Test
		void leavesNothingToClaim() {
			TicketBookTests.this.book.handOver();
			assertThat(TicketBookTests.this.book.claim(ticket(), DIGEST)).isEmpty();
		}

		@Test
		void keepsEntriesToAttachTo() {
			Ticket ticket = ticket();
			TicketBookTests.this.book.claim(ticket, DIGEST);
			TicketBookTests.this.book.handOver();
			Optional<TicketRegistry.Claim> claim = TicketBookTests.this.book.claim(ticket, DIGEST);
			assertThat(claim).get().extracting(TicketRegistry.Claim::created).isEqualTo(false);
		}

		@Test
		void happensOnce() {
			assertThat(TicketBookTests.this.book.handOver()).isTrue();
			assertThat(TicketBookTests.this.book.handOver()).isFalse();
		}

		@Test
		void leavesNoClaimOutOfWhatIsHandedOver() throws Exception {
			ExecutorService threads = Executors.newFixedThreadPool(2);
			try {
				for (int i = 0; i < 2_000; i++) {
					TicketRegistry raced = new TicketRegistry(TicketBookTests.this.mint, TicketBookTests.this.time, 0);
					Ticket ticket = ticket();
					CountDownLatch go = new CountDownLatch(1);
					Future<Boolean> claimed = threads.submit(() -> {
						go.await();
						return raced.claim(ticket, DIGEST).isPresent();
					});
					Future<Integer> told = threads.submit(() -> {
						go.await();
						raced.handOver();
						AtomicInteger count = new AtomicInteger();
						raced.forEach((sequence, entry) -> count.incrementAndGet());
						return count.get();
					});
					go.countDown();
					assertThat(told.get()).isEqualTo(claimed.get() ? 1 : 0);
				}
			}
			finally {
				threads.shutdownNow();
			}
		}

	}

	@Nested
	class Forgetting {

		@Test
		void waitsForExpiryAndAnswer() {
			Ticket ticket = ticket();
			JobEntry entry = TicketBookTests.this.book.claim(ticket, DIGEST).orElseThrow().entry();
			TicketBookTests.this.time.epochMillis = EXPIRY_EPOCH_MILLIS;
			TicketBookTests.this.book.removeExpired();
			assertThat(TicketBookTests.this.book.size()).isEqualTo(1);
			entry.complete(Answers.running("t"));
			TicketBookTests.this.book.removeExpired();
			assertThat(TicketBookTests.this.book.size()).isZero();
		}

	}

	/**
	 * Is a clock that stands until it is set.
	 */
	private static final class ManualTime implements TimeSource {

		private volatile long epochMillis;

		@Override
		public long nanoTime() {
			return this.epochMillis * 1_000_000;
		}

		@Override
		public long epochMillis() {
			return this.epochMillis;
		}

	}

}
