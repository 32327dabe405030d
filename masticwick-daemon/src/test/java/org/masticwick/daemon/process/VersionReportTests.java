package org.masticwick.daemon.process;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.Acceptance;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.version.RecentRecords;
import org.masticwick.daemon.version.VersionRegistry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link VersionReport}.
 */
class VersionReportTests {

	private final VersionRegistry registry = new VersionRegistry(new RecentRecords());

	private final VersionReport report = new VersionReport(this.registry, null, null, TimeSource.system());

	@Test
	void answersWithActiveState() {
		SiteState state = Acceptance.decide(SiteState.EMPTY,
				ReleaseNote.builder("a", 0).addRule(Rules.DRAINED_DOMAINS, "hobart").build());
		this.registry.advance(state);
		HttpAnswer answer = this.report.stateAnswer();
		assertThat(answer.status()).isEqualTo(200);
		assertThat(SiteRecordCodec.decodeState(new String(answer.body(), StandardCharsets.UTF_8))).isEqualTo(state);
	}

	/**
	 * Guards against a host that has just started telling an empty site, against which
	 * every note would be checked as the first one.
	 */
	@Test
	void refusesWithoutState() {
		assertThatExceptionOfType(MasticwickException.class).isThrownBy(this.report::stateAnswer)
			.extracting(MasticwickException::errorCode)
			.isEqualTo(ErrorCode.NO_VERSION);
	}

}
