package org.masticwick.daemon.process;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

import org.masticwick.daemon.process.settings.LogFormat;
import org.masticwick.daemon.process.settings.LogSettings;

/**
 * Sets up the logs of a process: one line an event on standard error, as JSON or text.
 */
public final class Logging {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %kvp%n";

	private static final String TARGET = "System.err";

	private Logging() {
	}

	/**
	 * Replaces what the log library set up by itself.
	 * @param settings the form and the least level
	 */
	public static void configure(LogSettings settings) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget(TARGET);
		appender.setEncoder(encoder(context, settings.format()));
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.addAppender(appender);
		root.setLevel(Level.WARN);
		context.getLogger("org.masticwick").setLevel(Level.toLevel(settings.level(), Level.INFO));
	}

	private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
		Encoder<ILoggingEvent> encoder = (format == LogFormat.JSON) ? new JsonLineEncoder() : textEncoder();
		encoder.setContext(context);
		encoder.start();
		return encoder;
	}

	private static Encoder<ILoggingEvent> textEncoder() {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setPattern(TEXT_PATTERN);
		return encoder;
	}

}
