import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An entry host: a process that the run line of the deploy file starts. */
final class Host {

	private final String name;

	private final String zone;

	private final String ip;

	private final int basePort;

	private final List<String> command;

	private final Path folder;

	private Process process;

	private volatile boolean frozen;

	Host(String name, String zone, String ip, int basePort, List<String> command, Path folder) {
		this.name = name;
		this.zone = zone;
		this.ip = ip;
		this.basePort = basePort;
		this.command = command;
		this.folder = folder;
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	String frontend() {
		return this.ip + ":" + this.basePort;
	}

	void start(List<String> siteSettings, boolean bootstrap) throws IOException {
		List<String> settings = new ArrayList<>(siteSettings);
		settings.addAll(List.of("node=" + this.name, "zone=" + this.zone, "ip=" + this.ip,
				"listen.frontend=" + frontend(), "listen.readiness=" + this.ip + ":" + (this.basePort + 1),
				"listen.control=" + this.ip + ":" + (this.basePort + 2),
				"internal_ports=" + (this.basePort + 10) + "," + (this.basePort + 25), "bootstrap=" + bootstrap));
		Path file = this.folder.resolve(this.name + ".conf");
		Files.write(file, settings);
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
		builder.environment().put("MASTICWICK_NODE_FILE", file.toString());
		this.process = builder.start();
	}

	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	boolean isFrozen() {
		return this.frozen;
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) new URL(
					"http://" + this.ip + ":" + (this.basePort + 1) + "/readiness")
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Sends a signal to the process: STOP or CONT. */
	void signal(String name) throws IOException, InterruptedException {
		this.frozen = name.equals("STOP");
		new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
	}

	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
