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
 * Tests for the handover of {@link TicketRegistries}.
 */
class TicketRegistriesHandOverTests {

	private static final long LIFETIME_MILLIS = 60_000;

	private final TimeSource time = TimeSource.system();

	private final TicketRegistries registries = new TicketRegistries(ticketFactory("10.0.0.1:1"), this.time,
			LIFETIME_MILLIS, Long.MAX_VALUE);

	private TicketFactory ticketFactory(String address) {
		Incarnation incarnation = Incarnation.create(this.time, RandomGenerator.getDefault());
		return new TicketFactory(new EntryHost("hobart", HostAddress.parse(address), incarnation), TicketKey.random(),
				0);
	}

	@Test
	void issuesNoTicketsAfterHandOver() {
		this.registries.issue(1);
		this.registries.handOver();
		assertThatExceptionOfType(NotHolderException.class).isThrownBy(() -> this.registries.issue(1));
	}

	@Test
	void inheritsNoRegistryAfterHandOver() {
		this.registries.handOver();
		assertThat(this.registries.inherit(new TicketRegistry(ticketFactory("10.0.0.2:1"), this.time, 0))).isFalse();
		assertThat(this.registries.heldIncarnations()).isEmpty();
	}

	@Test
	void handsInheritedRegistriesOverOnce() {
		TicketRegistry inherited = new TicketRegistry(ticketFactory("10.0.0.2:1"), this.time, 0);
		assertThat(this.registries.inherit(inherited)).isTrue();
		assertThat(this.registries.handOver()).containsExactlyInAnyOrder(this.registries.ownRegistry(), inherited);
		assertThat(this.registries.handOver()).isEmpty();
	}

	@Test
	void keepsTheRegistryUntilIssuedTicketsExpire() {
		List<Ticket> tickets = this.registries.issue(2);
		assertThat(this.registries.ownRegistry().lastExpiryEpochMillis()).isEqualTo(tickets.get(1).expiryEpochMillis());
	}

}
