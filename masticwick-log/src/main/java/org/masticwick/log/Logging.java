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
 * Configures the logging of a process: one event per line, as JSON or text.
 */
public final class Logging {

	private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %kvp%n";

	/**
	 * The number of events that may wait to be written before further events are dropped.
	 */
	private static final int MAX_QUEUED_EVENT_COUNT = 4_096;

	private Logging() {
	}

	/**
	 * Replaces the default configuration of Logback. Lines are written to standard error
	 * by the thread that logs.
	 * @param settings the format and the lowest level
	 */
	public static void configure(LogSettings settings) {
		LoggerContext context = resetContext();
		attachToRoot(context, createConsoleAppender(context, settings, ConsoleTarget.SystemErr), settings);
	}

	/**
	 * Replaces the default configuration of Logback. Lines are written to standard output
	 * by a separate thread. Events are dropped when that thread falls behind, so that the
	 * threads that log never wait.
	 * @param settings the format and the lowest level
	 */
	public static void configureNonBlocking(LogSettings settings) {
		LoggerContext context = resetContext();
		AsyncAppender appender = new AsyncAppender();
		appender.setContext(context);
		appender.setQueueSize(MAX_QUEUED_EVENT_COUNT);
		appender.setNeverBlock(true);
		appender.addAppender(createConsoleAppender(context, settings, ConsoleTarget.SystemOut));
		appender.start();
		attachToRoot(context, appender, settings);
	}

	/**
	 * Writes the queued events and stops logging.
	 */
	public static void shutdown() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
	}

	private static LoggerContext resetContext() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		return context;
	}

	private static Appender<ILoggingEvent> createConsoleAppender(LoggerContext context, LogSettings settings,
			ConsoleTarget target) {
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget(target.getName());
		appender.setEncoder(createEncoder(context, settings.format()));
		appender.start();
		return appender;
	}

	private static void attachToRoot(LoggerContext context, Appender<ILoggingEvent> appender, LogSettings settings) {
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.addAppender(appender);
		root.setLevel(Level.WARN);
		context.getLogger("org.masticwick").setLevel(Level.toLevel(settings.level(), Level.INFO));
	}

	private static Encoder<ILoggingEvent> createEncoder(LoggerContext context, LogFormat format) {
		Encoder<ILoggingEvent> encoder = (format == LogFormat.JSON) ? new JsonLineEncoder() : createTextEncoder();
		encoder.setContext(context);
		encoder.start();
		return encoder;
	}

	private static Encoder<ILoggingEvent> createTextEncoder() {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setPattern(TEXT_PATTERN);
		return encoder;
	}

}
