package org.masticwick.fleet.version;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link SkippedRecords} reports an unchanged record once, however often it is
 * read.
 */
class SkippedRecordsTests {

	private final SkippedRecords skippedRecords = new SkippedRecords();

	@Test
	void areReportedOnceForEachReason() {
		assertThat(this.skippedRecords.add("k", "no state")).isTrue();
		assertThat(this.skippedRecords.add("k", "no state")).isFalse();
		assertThat(this.skippedRecords.add("l", "no state")).isTrue();
		assertThat(this.skippedRecords.add("k", "no address")).isTrue();
	}

	@Test
	void areReportedAgainAfterAValidRecord() {
		this.skippedRecords.add("k", "no state");
		this.skippedRecords.remove("k");
		assertThat(this.skippedRecords.add("k", "no state")).isTrue();
	}

	@Test
	void areForgottenWhenThereAreMany() {
		IntStream.range(0, 600).forEach((number) -> this.skippedRecords.add("k" + number, "no state"));
		assertThat(this.skippedRecords.add("k599", "no state")).isFalse();
		assertThat(this.skippedRecords.add("k0", "no state")).isTrue();
	}

	@Test
	void haveKeysOfBoundedLength() {
		assertThat(SkippedRecords.shorten("k".repeat(10_000))).hasSizeLessThan(200).startsWith("kkk");
		assertThat(SkippedRecords.shorten("k")).isEqualTo("k");
	}

}
