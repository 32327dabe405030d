package org.masticwick.fleet.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.pool.EndpointEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DrainedDomainsHolder}.
 */
class DrainedDomainsHolderTests {

	private final List<DrainedDomains> changes = new ArrayList<>();

	private final DrainedDomainsHolder holder = new DrainedDomainsHolder(new DrainKeys(), this.changes::add);

	private void assertDrained(String... domains) {
		assertThat(this.holder.current().orElseThrow().domains()).containsExactlyInAnyOrder(domains);
	}

	private void load(long nextOffset, String... keys) {
		List.of(keys).forEach((key) -> this.holder.onRecord(key, false));
		this.holder.onLoaded(List.of(keys));
		this.holder.onUpToDate(nextOffset);
	}

	@Nested
	class FromTheTopic {

		/**
		 * A host that takes part of the topic for all of it would start tasks in a domain
		 * whose record comes later.
		 */
		@Test
		void areUnknownUntilTheTopicIsLoaded() {
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d1", false);
			DrainedDomainsHolderTests.this.holder.onRecord("version", false);
			assertThat(DrainedDomainsHolderTests.this.holder.current()).isEmpty();
			assertThat(DrainedDomainsHolderTests.this.changes).isEmpty();
		}

		@Test
		void areKnownAfterALoadOfAnEmptyTopic() {
			load(0);
			assertDrained();
			assertThat(DrainedDomainsHolderTests.this.changes).hasSize(1);
		}

		@Test
		void followRecordsAndDeletions() {
			load(4, "drain-d1");
			assertDrained("d1");
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d2", false);
			DrainedDomainsHolderTests.this.holder.onUpToDate(5);
			assertDrained("d1", "d2");
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d1", true);
			DrainedDomainsHolderTests.this.holder.onUpToDate(6);
			assertDrained("d2");
			assertThat(DrainedDomainsHolderTests.this.holder.isDrained("d1")).isFalse();
			assertThat(DrainedDomainsHolderTests.this.holder.isDrained("d2")).isTrue();
		}

		/**
		 * Guards against a domain that stays drained because its deletion expired before
		 * this host could read it.
		 */
		@Test
		void followKeysThatALaterLoadMisses() {
			load(4, "drain-d1", "drain-d2");
			load(9, "drain-d2");
			assertDrained("d2");
		}

		/**
		 * During a load the newest records of some keys are missing, so that a set made
		 * then would be wrong for its offset, and peers would keep it.
		 */
		@Test
		void doNotChangeInTheMiddleOfALoad() {
			load(4, "drain-d1");
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d2", false);
			assertDrained("d1");
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "drain-", "version", "drain", "x-drain-d1" })
		void ignoreOtherAndMalformedKeys(String key) {
			load(4, "drain-d1", key);
			DrainedDomainsHolderTests.this.holder.onRecord(key, true);
			DrainedDomainsHolderTests.this.holder.onUpToDate(5);
			assertDrained("d1");
		}

		@Test
		void areNotReportedAsChangedByOtherRecords() {
			load(4, "drain-d1");
			DrainedDomainsHolderTests.this.holder.onRecord("version", false);
			DrainedDomainsHolderTests.this.holder.onUpToDate(5);
			assertThat(DrainedDomainsHolderTests.this.changes).hasSize(1);
			assertThat(DrainedDomainsHolderTests.this.holder.current().orElseThrow().offset()).isEqualTo(5);
		}

	}

	@Nested
	class FromPeers {

		private boolean receive(long offset, String... domains) {
			return DrainedDomainsHolderTests.this.holder.replaceIfNewer(new DrainedDomains(offset, Set.of(domains)),
					"peer");
		}

		@Test
		void areTakenByAHostThatHasReadNothing() {
			assertThat(receive(0)).isTrue();
			assertDrained();
		}

		@Test
		void replaceOnlyOlderSets() {
			load(4, "drain-d1");
			assertThat(receive(3)).as("lower offset").isFalse();
			assertThat(receive(4)).as("same offset").isFalse();
			assertDrained("d1");
			assertThat(receive(5, "d2")).isTrue();
			assertDrained("d2");
		}

		/**
		 * Guards against a host that reads old records from the log when it is served
		 * again, and undoes what it learnt from a peer meanwhile.
		 */
		@Test
		void areNotUndoneByOlderRecordsOfTheLog() {
			load(4);
			receive(9, "d1");
			DrainedDomainsHolderTests.this.holder.onRecord("version", false);
			DrainedDomainsHolderTests.this.holder.onUpToDate(6);
			assertDrained("d1");
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d1", false);
			DrainedDomainsHolderTests.this.holder.onRecord("drain-d2", false);
			DrainedDomainsHolderTests.this.holder.onUpToDate(10);
			assertDrained("d1", "d2");
		}

	}

	/**
	 * Takes what follows the prefix of a key for the name of a domain.
	 */
	private static final class DrainKeys implements SiteFormat {

		private static final String PREFIX = "drain-";

		@Override
		public String versionKey() {
			return "version";
		}

		@Override
		public SiteVersion readVersion(byte[] content) {
			throw new InvalidRecordException("no versions here");
		}

		@Override
		public Optional<String> drainedDomain(String recordKey) {
			boolean drains = recordKey.startsWith(PREFIX) && recordKey.length() > PREFIX.length();
			return drains ? Optional.of(recordKey.substring(PREFIX.length())) : Optional.empty();
		}

		@Override
		public EndpointEntry readEndpoint(String endpointId, byte[] content) {
			throw new InvalidRecordException("no endpoints here");
		}

	}

}
