package review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The process of one entry host, started with the command of the deploy file.
 */
final class Host {

	static final int CALLER_PORT = 18_161;

	private static final int READINESS_PORT = 18_167;

	private static final int READINESS_TIMEOUT_MILLIS = 500;

	final String name;

	final String zone;

	final String ip;

	private final List<String> command;

	private final List<String> settings;

	private final Path folder;

	private Process process;

	Host(String name, String zone, String ip, List<String> command, List<String> siteSettings, String storeAddress,
			Path folder) {
		this.name = name;
		this.zone = zone;
		this.ip = ip;
		this.command = command;
		this.folder = folder;
		this.settings = Stream
			.concat(siteSettings.stream(),
					Stream.of("node=" + name, "zone=" + zone, "ip=" + ip, "listen.frontend=" + ip + ":" + CALLER_PORT,
							"listen.control=" + ip + ":18166", "listen.readiness=" + ip + ":" + READINESS_PORT,
							"internal_ports=17720,17735", "platform.address=" + storeAddress))
			.toList();
	}

	void start(boolean bootstrap) {
		try {
			Path file = this.folder.resolve(this.name + ".conf");
			Files.write(file, Stream.concat(this.settings.stream(), Stream.of("bootstrap=" + bootstrap)).toList());
			ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
				.redirectOutput(
						ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
			builder.environment().put("MASTICWICK_NODE_FILE", file.toString());
			this.process = builder.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	boolean isReady() {
		return call("GET", "/readiness", READINESS_PORT, "", READINESS_TIMEOUT_MILLIS).status() == 200;
	}

	/**
	 * Sends a request of a client.
	 */
	HttpResponse send(String method, String path, String body, int timeoutMillis) {
		return call(method, path, CALLER_PORT, body, timeoutMillis);
	}

	private HttpResponse call(String method, String path, int port, String body, int timeoutMillis) {
		return HttpConnection.call(this.ip, port, head(method, path, timeoutMillis), body, timeoutMillis);
	}

	private static String head(String method, String path, int timeoutMillis) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + Site.CALLER_HOST
				+ "\r\nContent-Type: application/json\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n";
	}

	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/** SIGKILL. */
	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	/** SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	/** SIGSTOP or SIGCONT. */
	void signal(String name) {
		try {
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	void awaitExit(long limitMillis) {
		try {
			this.process.waitFor(limitMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
