package org.masticwick.daemon.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.RunState;
import org.masticwick.daemon.request.TaskState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the OpenAPI document describes the operations that {@link ApiServer} offers.
 */
class OpenApiTests {

	private static final Set<String> METHODS = Set.of("get", "put", "post", "delete", "patch", "head", "options");

	private JsonNode document;

	@BeforeEach
	void readDocument() throws IOException {
		this.document = new YAMLMapper().readTree(Files.readString(Path.of("../docs/openapi.yaml")));
	}

	private Stream<String> operations() {
		return this.document.path("paths")
			.properties()
			.stream()
			.flatMap((path) -> path.getValue()
				.properties()
				.stream()
				.filter((member) -> METHODS.contains(member.getKey()))
				.map((member) -> member.getKey().toUpperCase(Locale.ROOT) + " " + path.getKey()));
	}

	private List<String> textsAt(String pointer) {
		return StreamSupport.stream(this.document.at(pointer).spliterator(), false).map(JsonNode::asText).toList();
	}

	@Test
	void listsExactlyTheServersOperations() {
		try (ApiServer server = new ApiServer(new FakeBackend(), new ApiLimits(8_192, 8_192, 65_536, 1_000, 1_000),
				"127.0.0.1", 0)) {
			assertThat(operations()).containsExactlyInAnyOrderElementsOf(server.operations());
		}
	}

	@Test
	void declaresOpenApiVersionAndTitle() {
		assertThat(this.document.path("openapi").asText()).startsWith("3.1.");
		assertThat(this.document.at("/info/title").asText()).isEqualTo("masticwick");
		assertThat(this.document.at("/info/version").isTextual()).isTrue();
	}

	@Test
	void describesEveryOperationAndResponse() {
		assertThat(this.document.path("paths").findParents("operationId")).allSatisfy((operation) -> {
			assertThat(operation.path("summary").asText()).endsWith(".");
			assertThat(operation.path("responses")).isNotEmpty();
			assertThat(operation.path("responses")).allSatisfy(
					(response) -> assertThat(response.has("$ref") || !response.path("description").asText().isEmpty())
						.isTrue());
		});
		assertThat(this.document.findValuesAsText("operationId")).doesNotHaveDuplicates()
			.hasSize((int) operations().count());
	}

	@Test
	void hasNoDanglingReferences() {
		assertThat(this.document.findValuesAsText("$ref")).isNotEmpty()
			.allSatisfy(
					(reference) -> assertThat(this.document.at(reference.substring(1)).isMissingNode()).as(reference)
						.isFalse());
	}

	@Test
	void listsAllCodesAndStates() {
		assertThat(textsAt("/components/schemas/Code/enum"))
			.containsExactlyElementsOf(Arrays.stream(ErrorCode.values()).map(ErrorCode::code).toList());
		assertThat(textsAt("/components/schemas/TaskOutcome/properties/state/enum"))
			.containsExactlyInAnyOrderElementsOf(
					Arrays.stream(TaskState.values()).map(TaskState::text).collect(Collectors.toSet()));
		assertThat(textsAt("/components/schemas/Problem/properties/ran/enum")).containsExactlyInAnyOrderElementsOf(
				Arrays.stream(RunState.values()).map(RunState::text).collect(Collectors.toSet()));
	}

}
