package org.masticwick.daemon.version;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.version.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogReadHistory}.
 */
class LogReadHistoryTests {

	@ParameterizedTest
	@CsvSource({ "10, 0, 10", "10 10 10, 0, 30", "90 10 10, 1, 20", "10 90 10, 2, 10", "10 10 900, 2, 900" })
	void rechecksTheLastRecordsThatFitTheByteLimit(String lengths, long offset, long bytes) {
		LogReadHistory readHistory = new LogReadHistory();
		int[] recordLengths = Arrays.stream(lengths.split(" ")).mapToInt(Integer::parseInt).toArray();
		IntStream.range(0, recordLengths.length)
			.forEach((index) -> readHistory.add("", new LogRecord(index, "x".repeat(recordLengths[index]))));
		assertThat(readHistory.recheckRange(50)).isEqualTo(new LogReadHistory.RecheckRange(offset, bytes));
	}

}
