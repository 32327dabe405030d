package org.masticwick.cli.version;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.cli.request.JobFile;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.version.NoteChange;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.ReleaseNoteLoader;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the example release notes are valid and declare the services and kinds that
 * the example jobs use.
 */
class ExampleNotesTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	static List<Path> notes() throws IOException {
		return files("notes");
	}

	private static List<Path> files(String directory) throws IOException {
		try (Stream<Path> found = Files.find(EXAMPLES, 4,
				(path, attributes) -> attributes.isRegularFile() && path.getParent().endsWith(directory))) {
			return found.sorted().toList();
		}
	}

	@ParameterizedTest
	@MethodSource("notes")
	void areValid(Path file) {
		assertThat(new ReleaseNoteLoader().load(file).changes()).isNotEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "cooperativa", "guild" })
	void declareServiceAndKindsOfExampleJobs(String deployment) throws IOException {
		Path siteNote = EXAMPLES.resolve(deployment).resolve("notes").resolve("0001-site.toml");
		ReleaseNote note = new ReleaseNoteLoader().load(siteNote);
		assertThat(note.capacities()).hasSize(30);
		NoteChange.OfService service = note.services().get(0);
		List<Path> jobs = files("jobs").stream().filter((path) -> path.toString().contains(deployment)).toList();
		assertThat(jobs).hasSizeGreaterThanOrEqualTo(3).allSatisfy((path) -> {
			assertThat(JobFile.load(path).service()).isEqualTo(service.name());
			Set<String> kinds = JobFile.load(path).tasks().stream().map(TaskSpec::kind).collect(Collectors.toSet());
			assertThat(service.spec().kinds()).containsAll(kinds);
		});
	}

}
