package org.masticwick.daemon.version;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.version.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogMemory}.
 */
class LogMemoryTests {

	@ParameterizedTest
	@CsvSource({ "10, 0, 10", "10 10 10, 0, 30", "90 10 10, 1, 20", "10 90 10, 2, 10", "10 10 900, 2, 900" })
	void readsTheLastRecordsAgainAsFarAsTheirLengthAllows(String lengths, long offset, long bytes) {
		LogMemory memory = new LogMemory();
		int[] values = Arrays.stream(lengths.split(" ")).mapToInt(Integer::parseInt).toArray();
		IntStream.range(0, values.length)
			.forEach((index) -> memory.add("", new LogRecord(index, "x".repeat(values[index]))));
		assertThat(memory.recheck(50)).isEqualTo(new LogMemory.Recheck(offset, bytes));
	}

}
