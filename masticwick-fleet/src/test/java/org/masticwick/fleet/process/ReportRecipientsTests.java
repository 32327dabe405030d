package org.masticwick.fleet.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReportRecipients}.
 */
class ReportRecipientsTests {

	private static final Map<HostAddress, MemberRecord> MEMBERS = Stream
		.of(member("self", "d1", 1), member("near", "d1", 2), member("far", "d2", 3), member("far-owner", "d2", 4))
		.collect(Collectors.toMap(MemberRecord::peerAddress, (member) -> member));

	private final ReportRecipients recipients = new ReportRecipients(MEMBERS.get(address(1)));

	private static HostAddress address(int number) {
		return new HostAddress("10.0.0." + number, 1);
	}

	private static MemberRecord member(String name, String domain, int number) {
		return new MemberRecord(name, domain, address(number), new Incarnation(1, 1), 750);
	}

	private String recipientNames(boolean singleOwnerSite, boolean ownsPool, List<HostAddress> peers) {
		return this.recipients
			.select(singleOwnerSite, ownsPool, peers, (address) -> Optional.ofNullable(MEMBERS.get(address)),
					Set.of(address(4)))
			.stream()
			.map((address) -> Optional.ofNullable(MEMBERS.get(address)).map(MemberRecord::hostName).orElse("unknown"))
			.sorted()
			.collect(Collectors.joining(" "));
	}

	@ParameterizedTest
	@CsvSource({ "true, false, far far-owner near", "false, false, far-owner near", "false, true, far far-owner near" })
	void dependOnSiteSizeAndOwnership(boolean singleOwnerSite, boolean ownsPool, String expected) {
		assertThat(recipientNames(singleOwnerSite, ownsPool, List.copyOf(MEMBERS.keySet()))).isEqualTo(expected);
	}

	@Test
	void includePeersWithoutAMemberRecord() {
		assertThat(recipientNames(false, false, List.of(address(9)))).isEqualTo("unknown");
	}

}
