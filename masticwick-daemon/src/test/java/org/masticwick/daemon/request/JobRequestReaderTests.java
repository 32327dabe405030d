package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link JobRequestReader}.
 */
class JobRequestReaderTests {

	private final JobRequestReader reader = new JobRequestReader(new RequestLimits(400, 16, 2, 5000, 9000, 1000));

	private JobRequest read(String text) {
		return this.reader.read(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	@Nested
	class Reading {

		@Test
		void readsAllFields() {
			JobRequest job = read("{'service':'s','team':'t','urgent':true,'idempotent':true,'deadline_ms':7,"
					+ "'tasks':[{'kind':'k','payload':'p','declared_run_ms':1,'declared_memory_mb':2,"
					+ "'declared_accelerators':3}]}");
			assertThat(job.tasks()).containsExactly(new TaskSpec("k", "p", 1, 2, 3));
			assertThat(job.urgent()).isTrue();
			assertThat(job.idempotent()).isTrue();
			assertThat(job.deadlineMillis()).isEqualTo(7);
		}

		@Test
		void appliesDefaults() {
			JobRequest job = read("{'service':'s','team':'t','tasks':[{'kind':'k'}]}");
			assertThat(job.deadlineMillis()).isEqualTo(5000);
			assertThat(job.urgent()).isFalse();
			assertThat(job.idempotent()).isFalse();
			assertThat(job.tasks().get(0).payload()).isEmpty();
		}

	}

	@Nested
	class Refusing {

		@ParameterizedTest
		@ValueSource(strings = { "", "[]", "7", "{", "{'service':'s'", "{'service':'s','service':'s'}", "{}{}", "nul" })
		void bodiesThatAreNoJsonObject(String text) {
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read(text))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.MALFORMED_REQUEST));
		}

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				{'team':'t','tasks':[{'kind':'k'}]}                                      | service
				{'service':' ','team':'t','tasks':[{'kind':'k'}]}                        | service
				{'service':'s','team':7,'tasks':[{'kind':'k'}]}                          | team
				{'service':'s','team':'t'}                                               | tasks
				{'service':'s','team':'t','tasks':[]}                                    | tasks
				{'service':'s','team':'t','tasks':[{'kind':'k'},{'kind':'k'},{'kind':'k'}]} | tasks
				{'service':'s','team':'t','tasks':[7]}                                   | tasks
				{'service':'s','team':'t','tasks':[{}]}                                  | kind
				{'service':'s','team':'t','tasks':[{'kind':'k','payload':7}]}            | payload
				{'service':'s','team':'t','tasks':[{'kind':'k','declared_run_ms':-1}]}   | declared_run_ms
				{'service':'s','team':'t','tasks':[{'kind':'k','size':1}]}               | tasks.size
				{'service':'s','team':'t','urgent':'yes','tasks':[{'kind':'k'}]}         | urgent
				{'service':'s','team':'t','deadline_ms':0,'tasks':[{'kind':'k'}]}        | deadline_ms
				{'service':'s','team':'t','deadline_ms':9001,'tasks':[{'kind':'k'}]}     | deadline_ms
				{'service':'s','team':'t','deadline_ms':1.5,'tasks':[{'kind':'k'}]}      | deadline_ms
				{'service':'s','team':'t','color':1,'tasks':[{'kind':'k'}]}              | color
				""")
		void invalidFields(String text, String field) {
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read(text))
				.withMessageContaining(field + ":")
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.INVALID_REQUEST));
		}

		@ParameterizedTest
		@ValueSource(strings = { "{'service':'s','team':'t','tasks':[{'kind':'k','payload':'12345678901234567'}]}",
				"{'service':'s','team':'t','tasks':[{'kind':'k','payload':'\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9'}]}" })
		void payloadsThatAreTooLarge(String text) {
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read(text))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE));
		}

		@Test
		void bodiesThatAreTooLarge() {
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read(" ".repeat(401)))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE));
		}

		@Test
		void reportsEveryProblemAtOnce() {
			assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read("{'urgent':1,'tasks':[{}]}"))
				.withMessageContainingAll("service:", "team:", "urgent:", "kind:");
		}

	}

}
