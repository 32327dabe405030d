package org.masticwick.daemon.request;

import java.util.List;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for handing over {@link TicketRegistries}.
 */
class TicketBooksHandOverTests {

	private static final long LIFETIME_MILLIS = 60_000;

	private final TimeSource time = TimeSource.system();

	private final TicketRegistries books = new TicketRegistries(mint("10.0.0.1:1"), this.time, LIFETIME_MILLIS,
			Long.MAX_VALUE);

	private TicketFactory mint(String address) {
		Incarnation incarnation = Incarnation.create(this.time, RandomGenerator.getDefault());
		return new TicketFactory(new EntryHost("hobart", HostAddress.parse(address), incarnation), TicketKey.random(),
				0);
	}

	@Test
	void issuesNoTicketThatTheHeirWouldNotKnow() {
		this.books.issue(1);
		this.books.handOver();
		assertThatExceptionOfType(NotHolderException.class).isThrownBy(() -> this.books.issue(1));
	}

	@Test
	void takesNoBookOverThatItCouldNotHandOn() {
		this.books.handOver();
		assertThat(this.books.inherit(new TicketRegistry(mint("10.0.0.2:1"), this.time, 0))).isFalse();
		assertThat(this.books.heldIncarnations()).isEmpty();
	}

	@Test
	void handsInheritedBooksOnOnce() {
		TicketRegistry inherited = new TicketRegistry(mint("10.0.0.2:1"), this.time, 0);
		assertThat(this.books.inherit(inherited)).isTrue();
		assertThat(this.books.handOver()).containsExactlyInAnyOrder(this.books.own(), inherited);
		assertThat(this.books.handOver()).isEmpty();
	}

	@Test
	void keepsIssuedTicketsUntilTheyExpire() {
		List<Ticket> tickets = this.books.issue(2);
		assertThat(this.books.own().lastExpiryEpochMillis()).isEqualTo(tickets.get(1).expiryEpochMillis());
	}

}
