package org.masticwick.core.request;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link Ticket}, {@link TicketKey} and {@link TicketFactory}.
 */
class TicketTests {

	private static final EntryHost ISSUER = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1_700_000_000_000L, 42));

	private static final long EXPIRY_EPOCH_MILLIS = 1_700_000_300_000L;

	private final TicketFactory factory = new TicketFactory(ISSUER, TicketKey.random(), 0);

	@Nested
	class Text {

		@Test
		void parsesItsOwnText() {
			Ticket ticket = TicketTests.this.factory.issue(1, EXPIRY_EPOCH_MILLIS).get(0);
			assertThat(Ticket.parse(ticket.toString())).isEqualTo(ticket);
		}

		@Test
		void needsNoEscapingInUrls() {
			Ticket ticket = TicketTests.this.factory.issue(1, EXPIRY_EPOCH_MILLIS).get(0);
			assertThat(ticket.toString()).matches("[A-Za-z0-9._~-]+");
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "~", "hobart", "hobart~127.0.0.1_7201~a-b~0~0~short",
				"Hobart~127.0.0.1_7201~a-b~0~0~abcdefghijklmnop", "hobart~127.0.0.1~a-b~0~0~abcdefghijklmnop",
				"hobart~127.0.0.1_7201~ab~0~0~abcdefghijklmnop", "hobart~127.0.0.1_7201~a-b~-1~0~abcdefghijklmnop",
				"hobart~127.0.0.1_7201~a-b~00~0~abcdefghijklmnop",
				"hobart~127.0.0.1_7201~a-b~0~0~abcdefghijklmnop~more" })
		void rejectsTextThatIsNotATicket(String text) {
			assertThatExceptionOfType(InvalidTicketException.class).isThrownBy(() -> Ticket.parse(text));
		}

		@Test
		void rejectsTooLongText() {
			assertThatExceptionOfType(InvalidTicketException.class)
				.isThrownBy(() -> Ticket.parse("a".repeat(Ticket.MAX_LENGTH + 1)));
		}

	}

	@Nested
	class Issuing {

		@Test
		void issuesConsecutiveSequenceNumbers() {
			List<Ticket> tickets = TicketTests.this.factory.issue(3, EXPIRY_EPOCH_MILLIS);
			assertThat(tickets).extracting(Ticket::sequence).containsExactly(0L, 1L, 2L);
			assertThat(TicketTests.this.factory.nextSequence()).isEqualTo(3);
		}

		@Test
		void verifiesIssuedTickets() {
			TicketTests.this.factory.issue(3, EXPIRY_EPOCH_MILLIS).forEach(TicketTests.this.factory::verify);
		}

		@Test
		void rejectsTicketsSignedWithAnotherKey() {
			Ticket signedWithOtherKey = new TicketFactory(ISSUER, TicketKey.random(), 0).issue(1, EXPIRY_EPOCH_MILLIS)
				.get(0);
			TicketTests.this.factory.issue(1, EXPIRY_EPOCH_MILLIS);
			assertThatExceptionOfType(InvalidTicketException.class)
				.isThrownBy(() -> TicketTests.this.factory.verify(signedWithOtherKey));
		}

		@Test
		void rejectsModifiedTickets() {
			Ticket issued = TicketTests.this.factory.issue(2, EXPIRY_EPOCH_MILLIS).get(0);
			Ticket withLaterExpiry = new Ticket(issued.domain(), issued.issuerAddress(), issued.incarnation(),
					issued.sequence(), issued.expiryEpochMillis() + 1, issued.mac());
			Ticket withOtherSequence = new Ticket(issued.domain(), issued.issuerAddress(), issued.incarnation(), 1,
					issued.expiryEpochMillis(), issued.mac());
			assertThat(List.of(withLaterExpiry, withOtherSequence))
				.allSatisfy((modified) -> assertThatExceptionOfType(InvalidTicketException.class)
					.isThrownBy(() -> TicketTests.this.factory.verify(modified)));
		}

		@Test
		void rejectsTicketsNotIssuedYet() {
			TicketKey key = TicketKey.random();
			Ticket notYetIssued = new TicketFactory(ISSUER, key, 10).issue(1, EXPIRY_EPOCH_MILLIS).get(0);
			assertThatExceptionOfType(InvalidTicketException.class)
				.isThrownBy(() -> new TicketFactory(ISSUER, key, 10).verify(notYetIssued));
		}

	}

}
