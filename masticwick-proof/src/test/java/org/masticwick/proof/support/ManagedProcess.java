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
 * Runs a module's shaded JAR as a child process, sends it signals, and kills it when
 * closed. Its standard output and standard error go to files in {@code target/processes}.
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
	 * Starts a process and waits until it reports on standard output that it has started.
	 * @param name the name of the process in file names and error messages
	 * @param module the module whose shaded JAR is run
	 * @param javaOptions the options of the JVM
	 * @param arguments the command line arguments
	 * @return the process
	 * @throws IllegalStateException if it exits without reporting that it has started
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
	 * Returns the path of a module's shaded JAR.
	 * @param module the name of the module
	 * @return the absolute path
	 */
	public static Path jar(String module) {
		return Path.of("..", module, "target", module + "-0.1.0-SNAPSHOT-all.jar").toAbsolutePath().normalize();
	}

	/**
	 * Returns the event that the process printed once it had started.
	 * @return the parsed JSON line
	 */
	public JsonNode started() {
		return this.started;
	}

	/**
	 * Returns the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process is alive. A paused process is alive.
	 * @return {@code true} if it has not exited
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/** Pauses the process with SIGSTOP. */
	public void pause() {
		signal("STOP");
	}

	/** Resumes a paused process with SIGCONT. */
	public void resume() {
		signal("CONT");
	}

	/** Requests termination with SIGTERM, without waiting for the process to exit. */
	public void terminate() {
		signal("TERM");
	}

	/** Kills the process with SIGKILL and waits until it has exited. */
	public void kill() {
		signal("KILL");
		awaitExit(KILL_TIMEOUT);
	}

	/**
	 * Waits until the process has exited.
	 * @param timeout the maximum time to wait
	 * @return the exit code
	 * @throws IllegalStateException if the process is alive after the timeout
	 */
	public int awaitExit(Duration timeout) {
		try {
			if (!this.process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException(this.name + " is still alive after " + timeout);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted", ex);
		}
	}

	/**
	 * Returns everything that the process has written to standard error so far.
	 * @return the text
	 */
	public String errorText() {
		return readText(this.stderrFile);
	}

	/** Kills the process if it is alive, even if it is paused. */
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
