package org.masticwick.proof.support;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.masticwick.core.process.HostAddress;

/**
 * Runs one entry host as a child process, with a settings file generated for it.
 */
public final class EntryHostProcess implements AutoCloseable {

	/** The module whose shaded JAR is run. */
	public static final String MODULE = "masticwick-daemon";

	private static final List<String> JAVA_OPTIONS = List.of("-Xms32m", "-Xmx112m", "-XX:MaxDirectMemorySize=48m",
			"-XX:MaxMetaspaceSize=64m", "-XX:ReservedCodeCacheSize=32m", "-XX:+UseSerialGC", "-Xss512k");

	private static final String CONFIG_OPTION = "--config";

	private static final Path SETTINGS_DIRECTORY = Path.of("target", "settings");

	private static final AtomicInteger SEQUENCE = new AtomicInteger();

	private final String domain;

	private final ManagedProcess process;

	private EntryHostProcess(String domain, ManagedProcess process) {
		this.domain = domain;
		this.process = process;
	}

	/**
	 * Starts an entry host and waits until it reports that it has started.
	 * @param domain its failure domain
	 * @param platform the address of the platform
	 * @param seeds the peer addresses of other entry hosts
	 * @param keys additional settings by section and key, each value in TOML syntax; they
	 * override the generated ones
	 * @return the entry host
	 */
	public static EntryHostProcess start(String domain, HostAddress platform, List<HostAddress> seeds,
			Map<String, Map<String, String>> keys) {
		String name = "masticwickd-" + domain;
		Path settingsFile = writeSettings(name, SettingsText.of(domain, platform, seeds, keys));
		List<String> arguments = List.of(CONFIG_OPTION, settingsFile.toAbsolutePath().toString());
		return new EntryHostProcess(domain, ManagedProcess.start(name, MODULE, JAVA_OPTIONS, arguments));
	}

	/**
	 * Returns the failure domain of the entry host.
	 * @return the name of the failure domain
	 */
	public String domain() {
		return this.domain;
	}

	/**
	 * Returns the address of the HTTP API.
	 * @return the address
	 */
	public HostAddress api() {
		return HostAddress.parse(this.process.started().path("api").textValue());
	}

	/**
	 * Returns the address at which the entry host accepts connections of its peers.
	 * @return the address
	 */
	public HostAddress peer() {
		return HostAddress.parse(this.process.started().path("peer").textValue());
	}

	/**
	 * Returns the child process.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	@Override
	public void close() {
		this.process.close();
	}

	private static Path writeSettings(String name, String text) {
		try {
			Files.createDirectories(SETTINGS_DIRECTORY);
			return Files.writeString(SETTINGS_DIRECTORY.resolve(name + "-" + SEQUENCE.incrementAndGet() + ".toml"),
					text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Can't write the settings file of " + name, ex);
		}
	}

	/**
	 * Formats the settings of an entry host as TOML.
	 */
	static final class SettingsText {

		private SettingsText() {
		}

		static String of(String domain, HostAddress platform, List<HostAddress> seeds,
				Map<String, Map<String, String>> keys) {
			Map<String, Map<String, String>> sections = new TreeMap<>();
			String seedList = seeds.stream().map((seed) -> quote(seed.toString())).collect(Collectors.joining(", "));
			put(sections, "host", Map.of("domain", quote(domain), "api_address", quote("127.0.0.1:0"), "peer_address",
					quote("127.0.0.1:0")));
			put(sections, "platform", Map.of("address", quote(platform.toString())));
			put(sections, "peers", Map.of("seeds", "[" + seedList + "]"));
			keys.forEach((section, values) -> put(sections, section, values));
			return sections.entrySet()
				.stream()
				.map((section) -> "[" + section.getKey() + "]\n" + lines(section.getValue()))
				.collect(Collectors.joining("\n"));
		}

		private static void put(Map<String, Map<String, String>> sections, String section, Map<String, String> values) {
			sections.computeIfAbsent(section, (name) -> new TreeMap<>()).putAll(values);
		}

		private static String lines(Map<String, String> values) {
			return values.entrySet()
				.stream()
				.map((value) -> value.getKey() + " = " + value.getValue() + "\n")
				.collect(Collectors.joining());
		}

		private static String quote(String text) {
			return "\"" + text + "\"";
		}

	}

}
