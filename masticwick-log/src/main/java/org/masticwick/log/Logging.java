package org.masticwick.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import org.slf4j.LoggerFactory;

/**
 * Sets up the logs of a process: one line an event, as JSON or text.
 */
public final class Logging {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %kvp%n";

	/** How many lines may wait to be written before further ones are dropped. */
	private static final int MAX_WAITING_LINES = 4_096;

	private Logging() {
	}

	/**
	 * Replaces what the log library set up by itself; lines go to standard error, and the
	 * thread that logs writes them.
	 * @param settings the form and the least level
	 */
	public static void configure(LogSettings settings) {
		LoggerContext context = reset();
		install(context, console(context, settings, ConsoleTarget.SystemErr), settings);
	}

	/**
	 * Replaces what the log library set up by itself; lines go to standard output from a
	 * thread of its own. Lines that it can't keep up with are dropped, so that no caller
	 * ever waits.
	 * @param settings the form and the least level
	 */
	public static void configureNonBlocking(LogSettings settings) {
		LoggerContext context = reset();
		AsyncAppender appender = new AsyncAppender();
		appender.setContext(context);
		appender.setQueueSize(MAX_WAITING_LINES);
		appender.setNeverBlock(true);
		appender.addAppender(console(context, settings, ConsoleTarget.SystemOut));
		appender.start();
		install(context, appender, settings);
	}

	/**
	 * Writes the lines that still wait.
	 */
	public static void shutdown() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
	}

	private static LoggerContext reset() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		return context;
	}

	private static Appender<ILoggingEvent> console(LoggerContext context, LogSettings settings, ConsoleTarget target) {
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget(target.getName());
		appender.setEncoder(encoder(context, settings.format()));
		appender.start();
		return appender;
	}

	private static void install(LoggerContext context, Appender<ILoggingEvent> appender, LogSettings settings) {
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
