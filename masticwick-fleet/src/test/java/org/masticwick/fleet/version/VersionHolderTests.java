package org.masticwick.fleet.version;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link VersionHolder} with versions that can't be read.
 */
class VersionHolderTests {

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	private final VersionHolder holder = new VersionHolder(new NumberFormat());

	@BeforeEach
	void captureLogEvents() {
		this.appender.start();
		((Logger) LoggerFactory.getLogger(VersionHolder.class)).addAppender(this.appender);
	}

	@AfterEach
	void detachAppender() {
		((Logger) LoggerFactory.getLogger(VersionHolder.class)).detachAppender(this.appender);
	}

	private boolean activate(String content) {
		return this.holder.activateIfNewer(content.getBytes(StandardCharsets.UTF_8), "log");
	}

	/**
	 * The record is read again with each load of its topic, and used to be logged each
	 * time.
	 */
	@Test
	void unreadableVersionIsLoggedOnceAndTheActiveOneKept() {
		activate("7");
		this.appender.list.clear();
		assertThat(activate("x")).isFalse();
		assertThat(activate("x")).isFalse();
		assertThat(this.holder.activeNumber()).isEqualTo(7);
		assertThat(this.appender.list).hasSize(1);
		assertThat(activate("8")).isTrue();
		assertThat(activate("x")).isFalse();
		assertThat(this.appender.list).hasSize(3);
	}

	/**
	 * Reads a version from its number.
	 */
	private static final class NumberFormat implements SiteFormat {

		@Override
		public String versionKey() {
			return "version";
		}

		@Override
		public SiteVersion readVersion(byte[] content) {
			String text = new String(content, StandardCharsets.UTF_8);
			if (text.equals("x")) {
				throw new InvalidRecordException("Version is not a number");
			}
			return new SiteVersion(Long.parseLong(text), List.of(), new RequestLimits(1, 1));
		}

		@Override
		public Optional<String> drainedDomain(String recordKey) {
			return Optional.empty();
		}

		@Override
		public EndpointEntry readEndpoint(String endpointId, byte[] content) {
			throw new InvalidRecordException("No endpoints");
		}

	}

}
