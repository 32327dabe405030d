package org.masticwick.daemon.process.settings;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.masticwick.core.request.JobRequest;
import org.masticwick.log.LogFormat;
import org.masticwick.log.LogSettings;

/**
 * Reads all sections of a settings file and defines the default and the allowed range of
 * each setting.
 */
final class SettingsReader {

	private static final long MINUTE_MILLIS = 60_000;

	private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

	private static final int KIBIBYTE = 1024;

	private static final int MEBIBYTE = 1024 * KIBIBYTE;

	private static final long GIBIBYTE = 1024L * MEBIBYTE;

	private static final Pattern DOMAIN_NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?");

	private static final String DOMAIN_NAME_ALLOWED = "1 to 63 of a-z, 0-9 and inner hyphens";

	private final String file;

	private final JsonNode root;

	private final Consumer<SettingsProblem> problemConsumer;

	private final Set<String> knownSections = new LinkedHashSet<>();

	SettingsReader(String file, JsonNode root, Consumer<SettingsProblem> problemConsumer) {
		this.file = file;
		this.root = root;
		this.problemConsumer = problemConsumer;
	}

	Settings read() {
		Settings settings = new Settings(readSection("host", SettingsReader::readHost),
				readSection("platform", SettingsReader::readPlatform), readSection("peers", SettingsReader::readPeers),
				readSection("tickets", SettingsReader::readTickets),
				readSection("requests", SettingsReader::readRequests),
				readSection("dispatch", SettingsReader::readDispatch), readSection("stop", SettingsReader::readStop),
				readSection("log", SettingsReader::readLog));
		this.root.fieldNames().forEachRemaining(this::reportUnknownSection);
		return settings;
	}

	private void reportUnknownSection(String name) {
		if (!this.knownSections.contains(name)) {
			String allowed = SectionReader.describeUnknownKey(name, this.knownSections);
			this.problemConsumer.accept(new SettingsProblem(this.file, name, this.root.get(name).toString(), allowed));
		}
	}

	private <T> T readSection(String name, Function<SectionReader, T> sectionMapper) {
		this.knownSections.add(name);
		JsonNode node = this.root.get(name);
		if (node != null && !node.isObject()) {
			this.problemConsumer
				.accept(new SettingsProblem(this.file, name, node.toString(), "a section [" + name + "]"));
			node = null;
		}
		JsonNode content = (node != null) ? node : JsonNodeFactory.instance.objectNode();
		SectionReader reader = new SectionReader(this.file, name, content, this.problemConsumer);
		T value = sectionMapper.apply(reader);
		reader.reportUnknownKeys();
		return value;
	}

	private static HostSettings readHost(SectionReader reader) {
		return new HostSettings(reader.text("domain", null, DOMAIN_NAME, DOMAIN_NAME_ALLOWED),
				reader.listenAddress("api_address", "127.0.0.1:0"), reader.listenAddress("peer_address", "127.0.0.1:0"),
				reader.optionalAddress("peer_advertised_address"));
	}

	private static PlatformSettings readPlatform(SectionReader reader) {
		return new PlatformSettings(reader.requiredAddress("address"),
				reader.milliseconds("poll_wait_ms", 4_000, 1, MINUTE_MILLIS),
				reader.milliseconds("host_list_interval_ms", 1_000, 10, MINUTE_MILLIS),
				reader.milliseconds("lease_ms", 10_000, 100, HOUR_MILLIS),
				reader.count("snapshot_interval_record_count", 256, 1, 1_000_000));
	}

	private static PeerSettings readPeers(SectionReader reader) {
		PeerSettings peers = new PeerSettings(reader.addresses("seeds"),
				reader.milliseconds("heartbeat_interval_ms", 1_000, 10, MINUTE_MILLIS),
				reader.milliseconds("silence_limit_ms", 2_500, 20, 10 * MINUTE_MILLIS),
				reader.milliseconds("call_silence_limit_ms", 2_000, 10, 10 * MINUTE_MILLIS));
		if (peers.silenceLimitMillis() < 2 * peers.heartbeatIntervalMillis()) {
			reader.reportProblem("silence_limit_ms", Long.toString(peers.silenceLimitMillis()),
					"at least twice heartbeat_interval_ms, " + 2 * peers.heartbeatIntervalMillis());
		}
		return peers;
	}

	private static TicketSettings readTickets(SectionReader reader) {
		return new TicketSettings(reader.milliseconds("lifetime_ms", 300_000, 1_000, 24 * HOUR_MILLIS),
				reader.count("block_count_max", 1_000, 1, 100_000));
	}

	private static RequestSettings readRequests(SectionReader reader) {
		RequestSettings requests = new RequestSettings(
				reader.bytes("body_bytes_max", 4 * MEBIBYTE, KIBIBYTE, 256 * MEBIBYTE),
				reader.bytes("payload_bytes_max", 64 * KIBIBYTE, 1, 64 * MEBIBYTE),
				reader.bytes("result_bytes_max", MEBIBYTE, 1, 256 * MEBIBYTE),
				reader.bytes("header_bytes_max", 8 * KIBIBYTE, 512, MEBIBYTE),
				reader.count("job_task_count_max", JobRequest.MAX_TASK_COUNT, 1, JobRequest.MAX_TASK_COUNT),
				reader.milliseconds("wait_max_ms", 2 * MINUTE_MILLIS, 1, HOUR_MILLIS),
				reader.milliseconds("deadline_default_ms", MINUTE_MILLIS, 1, HOUR_MILLIS),
				reader.milliseconds("deadline_max_ms", 10 * MINUTE_MILLIS, 1, HOUR_MILLIS),
				reader.milliseconds("body_timeout_ms", 10_000, 10, 10 * MINUTE_MILLIS),
				reader.bytes("remembered_bytes_max", 48L * MEBIBYTE, MEBIBYTE, 64 * GIBIBYTE));
		if (requests.deadlineDefaultMillis() > requests.deadlineMaxMillis()) {
			reader.reportProblem("deadline_default_ms", Long.toString(requests.deadlineDefaultMillis()),
					"at most deadline_max_ms, " + requests.deadlineMaxMillis());
		}
		if (requests.payloadBytesMax() > requests.bodyBytesMax()) {
			reader.reportProblem("payload_bytes_max", Integer.toString(requests.payloadBytesMax()),
					"at most body_bytes_max, " + requests.bodyBytesMax());
		}
		return requests;
	}

	private static DispatchSettings readDispatch(SectionReader reader) {
		return new DispatchSettings(reader.count("queue_task_count_max", 20_000, 1, 10_000_000),
				reader.milliseconds("queue_wait_max_ms", 30_000, 1, HOUR_MILLIS),
				reader.fraction("retry_budget_fraction", 0.1),
				reader.milliseconds("connect_timeout_ms", 500, 1, MINUTE_MILLIS),
				reader.milliseconds("endpoint_silence_min_ms", 1_000, 10, HOUR_MILLIS));
	}

	private static StopSettings readStop(SectionReader reader) {
		return new StopSettings(reader.milliseconds("deadline_ms", 30_000, 1, HOUR_MILLIS),
				reader.milliseconds("drain_min_ms", 5_000, 0, HOUR_MILLIS));
	}

	private static LogSettings readLog(SectionReader reader) {
		String format = reader.choice("format", "json", List.of("json", "text"));
		String level = reader.choice("level", "info", List.of("trace", "debug", "info", "warn", "error"));
		return new LogSettings(LogFormat.valueOf(format.toUpperCase(Locale.ROOT)), level);
	}

}
