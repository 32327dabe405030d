package org.masticwick.cli.request;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * The JSON form of a job, in job files and in requests to hosts. Its components are
 * written under their names in snake case.
 *
 * @param service the service whose endpoints run the tasks
 * @param team the team whose share the job is charged to
 * @param urgent whether the job has priority over jobs that are not urgent
 * @param idempotent whether the job may be resubmitted under a new ticket
 * @param deadlineMs the time within which the caller needs the answer, in milliseconds
 * @param tasks the tasks
 */
record JobBody(String service, String team, boolean urgent, boolean idempotent, long deadlineMs, List<TaskBody> tasks) {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	static JobBody of(JobRequest request) {
		return new JobBody(request.service(), request.team(), request.urgent(), request.idempotent(),
				request.deadlineMillis(), request.tasks().stream().map(TaskBody::of).toList());
	}

	static JobBody read(JsonNode json) throws JsonProcessingException {
		return MAPPER.treeToValue(json, JobBody.class);
	}

	byte[] toBytes() {
		try {
			return MAPPER.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	JobRequest toRequest() {
		return new JobRequest(this.service, this.team, this.urgent, this.idempotent, this.deadlineMs,
				this.tasks.stream().map(TaskBody::toSpec).toList());
	}

	/**
	 * The JSON form of a task. Its payload is text; in job files it may also be JSON,
	 * which is sent as text.
	 *
	 * @param kind the kind of task
	 * @param payload the input that the endpoint receives
	 * @param declaredRunMs the declared run time in milliseconds
	 * @param declaredMemoryMb the declared memory in megabytes
	 * @param declaredAccelerators the declared number of accelerators
	 */
	record TaskBody(String kind, JsonNode payload, long declaredRunMs, long declaredMemoryMb,
			int declaredAccelerators) {

		static TaskBody of(TaskSpec spec) {
			return new TaskBody(spec.kind(), MAPPER.getNodeFactory().textNode(spec.payload()),
					spec.declaredRunTimeMillis(), spec.declaredMemoryMegabytes(), spec.declaredAcceleratorCount());
		}

		TaskSpec toSpec() {
			String text = this.payload.isTextual() ? this.payload.textValue() : this.payload.toString();
			return new TaskSpec(this.kind, text, this.declaredRunMs, this.declaredMemoryMb, this.declaredAccelerators);
		}

	}

}
