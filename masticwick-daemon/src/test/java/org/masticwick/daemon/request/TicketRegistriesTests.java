package org.masticwick.daemon.request;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
 * Tests for {@link TicketRegistries}.
 */
class TicketRegistriesTests {

	private static final EntryHost ISSUER = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final long LIFETIME_MILLIS = 1_000;

	private static final long LIMIT_BYTES = 10_000;

	private static final byte[] DIGEST = { 1 };

	private final AtomicLong epochMillis = new AtomicLong(1);

	private TicketRegistries registries;

	@BeforeEach
	void create() {
		this.registries = new TicketRegistries(new TicketFactory(ISSUER, TicketKey.random(), 0), new ManualClock(),
				LIFETIME_MILLIS, LIMIT_BYTES);
	}

	private JobEntry submit(Ticket ticket) {
		return this.registries.ownRegistry().claim(ticket, DIGEST).orElseThrow().entry();
	}

	private void end(JobEntry entry, int bodyBytes) {
		entry.complete(HttpAnswer.json(200, new byte[bodyBytes]));
	}

	@Nested
	class RememberedBytes {

		@Test
		void countAnswersUntilTheyExpire() {
			JobEntry entry = submit(TicketRegistriesTests.this.registries.issue(1).get(0));
			assertThat(TicketRegistriesTests.this.registries.rememberedBytes()).isZero();
			end(entry, 1_000);
			assertThat(TicketRegistriesTests.this.registries.rememberedBytes()).isBetween(1_001L, 2_000L);
			TicketRegistriesTests.this.epochMillis.addAndGet(LIFETIME_MILLIS);
			TicketRegistriesTests.this.registries.removeExpired();
			assertThat(TicketRegistriesTests.this.registries.rememberedBytes()).isZero();
		}

		@Test
		void blockNewTicketsAtTheLimitAndDropNoAnswer() {
			Ticket ticket = TicketRegistriesTests.this.registries.issue(1).get(0);
			end(submit(ticket), (int) LIMIT_BYTES);
			assertThat(TicketRegistriesTests.this.registries.answerMemoryFull()).isTrue();
			assertThatExceptionOfType(RequestException.class)
				.isThrownBy(() -> TicketRegistriesTests.this.registries.issue(1))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.OVERLOADED));
			TicketRegistriesTests.this.registries.removeExpired();
			assertThat(TicketRegistriesTests.this.registries.ownRegistry().find(ticket).answer()).isDone();
		}

		@Test
		void allowNewTicketsAfterExpiry() {
			end(submit(TicketRegistriesTests.this.registries.issue(1).get(0)), (int) LIMIT_BYTES);
			TicketRegistriesTests.this.epochMillis.addAndGet(LIFETIME_MILLIS);
			TicketRegistriesTests.this.registries.removeExpired();
			assertThat(TicketRegistriesTests.this.registries.issue(1)).hasSize(1);
		}

	}

	/**
	 * Clock that changes only when the test sets it.
	 */
	private final class ManualClock implements TimeSource {

		@Override
		public long nanoTime() {
			return epochMillis() * 1_000_000;
		}

		@Override
		public long epochMillis() {
			return TicketRegistriesTests.this.epochMillis.get();
		}

	}

}
