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
class TicketBooksTests {

	private static final EntryHost HOME = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final long LIFETIME_MILLIS = 1_000;

	private static final long LIMIT_BYTES = 10_000;

	private static final byte[] DIGEST = { 1 };

	private final AtomicLong epochMillis = new AtomicLong(1);

	private TicketRegistries books;

	@BeforeEach
	void create() {
		this.books = new TicketRegistries(new TicketFactory(HOME, TicketKey.random(), 0), new Clock(), LIFETIME_MILLIS,
				LIMIT_BYTES);
	}

	private JobEntry submit(Ticket ticket) {
		return this.books.own().claim(ticket, DIGEST).orElseThrow().entry();
	}

	private void end(JobEntry entry, int bodyBytes) {
		entry.complete(HttpAnswer.json(200, new byte[bodyBytes]));
	}

	@Nested
	class RememberedBytes {

		@Test
		void countAnswersUntilTheyExpire() {
			JobEntry entry = submit(TicketBooksTests.this.books.issue(1).get(0));
			assertThat(TicketBooksTests.this.books.rememberedBytes()).isZero();
			end(entry, 1_000);
			assertThat(TicketBooksTests.this.books.rememberedBytes()).isBetween(1_001L, 2_000L);
			TicketBooksTests.this.epochMillis.addAndGet(LIFETIME_MILLIS);
			TicketBooksTests.this.books.removeExpired();
			assertThat(TicketBooksTests.this.books.rememberedBytes()).isZero();
		}

		@Test
		void stopNewTicketsAtTheLimitAndDropNothing() {
			Ticket ticket = TicketBooksTests.this.books.issue(1).get(0);
			end(submit(ticket), (int) LIMIT_BYTES);
			assertThat(TicketBooksTests.this.books.answerMemoryFull()).isTrue();
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> TicketBooksTests.this.books.issue(1))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.OVERLOADED));
			TicketBooksTests.this.books.removeExpired();
			assertThat(TicketBooksTests.this.books.own().find(ticket).answer()).isDone();
		}

		@Test
		void letJobsInAgainWhenTicketsHaveExpired() {
			end(submit(TicketBooksTests.this.books.issue(1).get(0)), (int) LIMIT_BYTES);
			TicketBooksTests.this.epochMillis.addAndGet(LIFETIME_MILLIS);
			TicketBooksTests.this.books.removeExpired();
			assertThat(TicketBooksTests.this.books.issue(1)).hasSize(1);
		}

	}

	/**
	 * Is a clock that tests set.
	 */
	private final class Clock implements TimeSource {

		@Override
		public long nanoTime() {
			return epochMillis() * 1_000_000;
		}

		@Override
		public long epochMillis() {
			return TicketBooksTests.this.epochMillis.get();
		}

	}

}
