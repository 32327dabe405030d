package org.masticwick.proof.support;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

import static org.awaitility.Awaitility.await;

/**
 * Runs a module's shaded jar as a process of its own, signals it, and kills it in the
 * end. What it prints goes to files below {@code target/processes}.
 */
public final class ManagedProcess implements AutoCloseable {

	private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	private static final Path LOG_DIRECTORY = Path.of("target", "processes");

	private static final AtomicInteger SEQUENCE = new AtomicInteger();

	private final String name;

	private final Process process;

	private final Path stdoutFile;

	private final Path stderrFile;

	private final JsonNode started;

	private ManagedProcess(String name, Process process, Path stdoutFile, Path stderrFile) {
		this.name = name;
		this.process = process;
		this.stdoutFile = stdoutFile;
		this.stderrFile = stderrFile;
		this.started = awaitStarted();
	}

	/**
	 * Starts a process and waits until it says that it has started.
	 * @param name the name of the process in logs and errors
	 * @param module the module whose shaded jar is run
	 * @param javaOptions the options of the JVM
	 * @param arguments the command line
	 * @return the process
	 * @throws IllegalStateException if it ends before it has started
	 */
	public static ManagedProcess start(String name, String module, List<String> javaOptions, List<String> arguments) {
		List<String> command = new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
		command.addAll(javaOptions);
		command.addAll(List.of("-jar", jar(module).toString()));
		command.addAll(arguments);
		String fileName = name + "-" + SEQUENCE.incrementAndGet();
		Path stdoutFile = LOG_DIRECTORY.resolve(fileName + ".out");
		Path stderrFile = LOG_DIRECTORY.resolve(fileName + ".err");
		try {
			Files.createDirectories(LOG_DIRECTORY);
			Process process = new ProcessBuilder(command).redirectOutput(stdoutFile.toFile())
				.redirectError(stderrFile.toFile())
				.start();
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
			return new ManagedProcess(name, process, stdoutFile, stderrFile);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Can't start " + name, ex);
		}
	}

	/**
	 * Returns where the shaded jar of a module is.
	 * @param module the name of the module
	 * @return the path
	 */
	public static Path jar(String module) {
		return Path.of("..", module, "target", module + "-0.1.0-SNAPSHOT-all.jar").toAbsolutePath().normalize();
	}

	/**
	 * Returns the line that the process printed when it had started.
	 * @return the tree
	 */
	public JsonNode started() {
		return this.started;
	}

	/**
	 * Returns the id of the process.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Tells whether the process has not ended.
	 * @return {@code true} if it has not
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/** Pauses the process by SIGSTOP. */
	public void pause() {
		signal("STOP");
	}

	/** Lets a paused process go on by SIGCONT. */
	public void resume() {
		signal("CONT");
	}

	/** Asks the process to stop by SIGTERM and doesn't wait. */
	public void terminate() {
		signal("TERM");
	}

	/** Kills the process by SIGKILL and waits for its end. */
	public void kill() {
		signal("KILL");
		awaitExit(KILL_TIMEOUT);
	}

	/**
	 * Waits for the end of the process.
	 * @param timeout how long to wait
	 * @return the exit code
	 * @throws IllegalStateException if it still runs
	 */
	public int awaitExit(Duration timeout) {
		try {
			if (!this.process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException(this.name + " still runs after " + timeout);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted", ex);
		}
	}

	/**
	 * Returns what the process has printed to standard error.
	 * @return the text
	 */
	public String errorText() {
		return readText(this.stderrFile);
	}

	/** Kills the process if it still runs, also if it is paused. */
	@Override
	public void close() {
		if (alive()) {
			kill();
		}
	}

	@Override
	public String toString() {
		return this.name + " (" + pid() + ")";
	}

	private JsonNode awaitStarted() {
		try {
			await().atMost(START_TIMEOUT)
				.pollInterval(POLL_INTERVAL)
				.until(() -> readText(this.stdoutFile).contains("\n") || !alive());
		}
		finally {
			if (!readText(this.stdoutFile).contains("\n")) {
				this.process.destroyForcibly();
			}
		}
		String line = readText(this.stdoutFile).lines().findFirst().orElse("");
		if (!line.contains("\"started\"")) {
			this.process.destroyForcibly();
			throw new IllegalStateException(this.name + " has not started: " + line + errorText());
		}
		return ApiClient.read(line);
	}

	private void signal(String signal) {
		try {
			Process command = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).inheritIO().start();
			command.waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Can't signal " + this.name, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted", ex);
		}
	}

	private static String readText(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Can't read " + file, ex);
		}
	}

}
