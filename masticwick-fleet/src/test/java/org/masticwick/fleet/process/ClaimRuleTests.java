package org.masticwick.fleet.process;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimRule} and {@link PoolClaim}.
 */
class ClaimRuleTests {

	private static final MemberRecord SELF = member("b", "d1", 1);

	private final ClaimRule rule = new ClaimRule(SELF);

	private static MemberRecord member(String name, String domain, long started) {
		return member(name, domain, started, 750);
	}

	private static MemberRecord member(String name, String domain, long started, int processorMillicores) {
		return new MemberRecord(name, domain, new HostAddress("10.0.0." + (int) name.charAt(0), 1),
				new Incarnation(started, 1), processorMillicores);
	}

	private static PoolClaim claim(MemberRecord owner) {
		return new PoolClaim("d1", owner, PoolClaim.tokenAt(4), List.of("a", "b", "c"));
	}

	private static ClaimRule.Situation situationWithoutOwner(String domain, PoolClaim claim,
			long ownerUnreachableMillis, MemberRecord... reachableMembers) {
		return new ClaimRule.Situation(domain, claim, 60_000, false, false, true, ownerUnreachableMillis, true, true,
				List.of(reachableMembers), List.of());
	}

	@Nested
	class Claims {

		@ParameterizedTest
		@CsvSource({ "true, false, true, 60000, false", "false, true, true, 60000, false",
				"false, false, false, 60000, false", "false, false, true, 100, false",
				"false, false, true, 60000, true" })
		void claimsOnlyIfNoHostReachesTheOwner(boolean ownerReachable, boolean ownerReachableByPeers,
				boolean discoveryComplete, long claimAgeMillis, boolean expected) {
			ClaimRule.Situation situation = new ClaimRule.Situation("d1", claim(member("a", "d1", 1)), claimAgeMillis,
					ownerReachable, ownerReachableByPeers, discoveryComplete, 10_000, true, true,
					List.of(member("c", "d1", 1)), List.of());
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situation)).isEqualTo(expected);
		}

		@Test
		void claimsAreDelayedByRankOfTheName() {
			PoolClaim claimOfLostOwner = claim(member("x", "d1", 1));
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 0, member("c", "d1", 1)))).isTrue();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 0, member("a", "d1", 1)))).isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 300, member("a", "d1", 1)))).isTrue();
		}

		@Test
		void strongestHostClaimsFirst() {
			PoolClaim claimOfLostOwner = claim(member("x", "d1", 1));
			MemberRecord weak = member("a", "d1", 1, 360);
			MemberRecord strong = member("c", "d1", 1, 1_500);
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 0, weak)))
				.isTrue();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 0, weak, strong))).isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 300, weak, strong))).isTrue();
		}

		@Test
		void doesNotClaimAnUnreachableFailureDomain() {
			PoolClaim claimOfLostOwner = claim(member("x", "d2", 1));
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d2", claimOfLostOwner, 10_000, member("c", "d1", 1)))).isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaim(situationWithoutOwner("d2", claimOfLostOwner, 10_000, member("c", "d2", 1)))).isTrue();
		}

		@Test
		void waitsLongerIfNoHostIsReachable() {
			PoolClaim claimOfLostOwner = claim(member("x", "d1", 1));
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 2_000)))
				.isFalse();
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situationWithoutOwner("d1", claimOfLostOwner, 2_500)))
				.isTrue();
		}

		@Test
		void claimsAtOnceThePoolOfItsPreviousIncarnation() {
			ClaimRule.Situation situation = new ClaimRule.Situation("d2", claim(member("b", "d1", 0)), 0, false, false,
					false, 0, true, true, List.of(), List.of());
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situation)).isTrue();
		}

		@Test
		void onlyHostsOfTheFailureDomainClaimOnALargeSite() {
			ClaimRule.Situation situation = new ClaimRule.Situation("d2", claim(member("x", "d2", 1)), 60_000, false,
					false, true, 60_000, false, true, List.of(member("c", "d2", 1)), List.of());
			assertThat(ClaimRuleTests.this.rule.shouldClaim(situation)).isFalse();
		}

	}

	/**
	 * Guards against a failure domain whose hosts are all lost staying without an owner.
	 */
	@Nested
	class LostHosts {

		private final PoolClaim claimOfLostOwner = claim(member("x", "d2", 1));

		@Test
		void leaveTheirPoolToAHostOfAnotherFailureDomainAfterADelay() {
			MemberRecord later = member("c", "d1", 1);
			assertThat(ClaimRuleTests.this.rule
				.shouldClaimWithoutItsHosts(situationWithoutOwner("d2", this.claimOfLostOwner, 3_999, later)))
				.isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaimWithoutItsHosts(situationWithoutOwner("d2", this.claimOfLostOwner, 4_000, later))).isTrue();
		}

		@Test
		void areReplacedInTheOrderOfRanks() {
			MemberRecord earlier = member("a", "d1", 1);
			assertThat(ClaimRuleTests.this.rule
				.shouldClaimWithoutItsHosts(situationWithoutOwner("d2", this.claimOfLostOwner, 4_000, earlier)))
				.isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaimWithoutItsHosts(situationWithoutOwner("d2", this.claimOfLostOwner, 4_300, earlier)))
				.isTrue();
		}

		@Test
		void areNotReplacedWhileOneIsReachableOrOfTheOwnDomain() {
			assertThat(ClaimRuleTests.this.rule.shouldClaimWithoutItsHosts(
					situationWithoutOwner("d2", this.claimOfLostOwner, 60_000, member("c", "d2", 1))))
				.isFalse();
			assertThat(ClaimRuleTests.this.rule
				.shouldClaimWithoutItsHosts(situationWithoutOwner("d1", claim(member("x", "d1", 1)), 60_000)))
				.isFalse();
		}

		@Test
		void areNotReplacedWhileAPeerReachesTheOwner() {
			ClaimRule.Situation situation = new ClaimRule.Situation("d2", this.claimOfLostOwner, 60_000, false, true,
					true, 60_000, true, true, List.of(member("c", "d1", 1)), List.of());
			assertThat(ClaimRuleTests.this.rule.shouldClaimWithoutItsHosts(situation)).isFalse();
		}

	}

	@Nested
	class Standbys {

		@Test
		void assumeOwnershipAfterTheDelayOfTheirRank() {
			ClaimRule.Situation beforeDelay = situationWithoutOwner("d1", claim(member("x", "d2", 1)), 500,
					member("c", "d1", 1));
			ClaimRule.Situation afterDelay = situationWithoutOwner("d1", claim(member("x", "d2", 1)), 550,
					member("c", "d1", 1));
			assertThat(ClaimRuleTests.this.rule.shouldAssumeStandbyOwnership(beforeDelay)).isFalse();
			assertThat(ClaimRuleTests.this.rule.shouldAssumeStandbyOwnership(afterDelay)).isTrue();
		}

		@Test
		void haveDistinctTokensBetweenTwoClaims() {
			PoolClaim claim = claim(member("x", "d2", 1));
			long nextToken = PoolClaim.tokenAt(5);
			List<Long> tokens = List.of("a", "b", "c")
				.stream()
				.map((name) -> claim.forStandby(member(name, "d1", 1)).fencingToken())
				.toList();
			assertThat(tokens).doesNotHaveDuplicates()
				.allSatisfy((token) -> assertThat(token).isGreaterThan(claim.fencingToken()).isLessThan(nextToken));
		}

		@Test
		void keepTheirTokensIfOneSucceedsAnother() {
			PoolClaim claim = claim(member("x", "d2", 1));
			PoolClaim claimOfStandbyC = claim.forStandby(member("c", "d1", 1));
			assertThat(claimOfStandbyC.forStandby(member("a", "d1", 1)).fencingToken())
				.isEqualTo(claim.forStandby(member("a", "d1", 1)).fencingToken());
		}

	}

	@Nested
	class Records {

		@Test
		void areDecodedAsEncoded() {
			ClaimRecord written = new ClaimRecord(SELF, List.of("a", "b"));
			assertThat(ClaimRecord.read(written.toBytes())).isEqualTo(written);
			assertThat(MemberRecord.read(SELF.toBytes())).isEqualTo(SELF);
		}

	}

}
