package org.masticwick.cli.request;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.request.JobRequest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link JobFile}.
 */
class JobFileTests {

	@Nested
	class Examples {

		static Stream<Path> files() throws IOException {
			return Files.find(Path.of("..", "examples"), 4, (path, attributes) -> path.toString().contains("/jobs/"));
		}

		@ParameterizedTest
		@MethodSource("files")
		void loadAsJobs(Path file) {
			JobRequest request = JobFile.load(file);
			assertThat(request.service()).isNotBlank();
			assertThat(request.deadlineMillis()).isPositive();
			assertThat(request.tasks()).isNotEmpty().allSatisfy((task) -> {
				assertThat(task.kind()).isNotBlank();
				assertThat(task.payload()).contains("run_ms");
			});
		}

	}

	@Nested
	class WrongFiles {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				{                                              | Unexpected end-of-input
				{"service":"a"}                                | at least one task
				{"service":"a","tasks":[]}                     | at least one task
				{"tasks":[{"kind":"k","payload":"p"}]}         | a service
				{"service":"a","tasks":[{"kind":"k"}]}         | a payload
				{"service":"a","tasks":[{"payload":"p"}]}      | a kind
				{"service":"a","taks":[]}                      | taks
				""")
		void areRejectedWithReason(String content, String reason, @TempDir Path directory) throws IOException {
			Path file = Files.writeString(directory.resolve("job.json"), content);
			assertThatExceptionOfType(InvalidJobFileException.class).isThrownBy(() -> JobFile.load(file))
				.withMessageContaining("job.json")
				.withMessageContaining(reason);
		}

	}

}
