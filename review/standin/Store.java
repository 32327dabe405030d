import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** The platform's metadata store, as PROTOCOL.md tells it: topics of a log, keyed ones with the newest record of each key. */
final class Store {

	/** How long a channel stays open whose answer is lost. */
	private static final long LOST_ANSWER_MILLIS = 20_000;

	private final HttpServer server;

	private final Map<String, Partition> partitions = new ConcurrentHashMap<>();

	/** How long an answer takes, in milliseconds. */
	volatile long answerMillis = 4;

	/** The share of the appends that are done and not answered. */
	volatile double lostShare;

	Store(int port) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(Site.IP, port), 200);
		this.server.setExecutor(Executors.newCachedThreadPool(Site.daemons("store")));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	/** Writes a record as the operator or a worker does. An empty value drops the key. */
	void put(String topic, String key, String value) {
		partition(topic, "0").append(List.of(record(key, value.getBytes(StandardCharsets.UTF_8))));
	}

	private static byte[] record(String key, byte[] value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + keyBytes.length + value.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(value)
			.array();
	}

	private Partition partition(String topic, String part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (key) -> new Partition());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			Thread.sleep(this.answerMillis);
			String topic = query.getOrDefault("topic", "");
			Partition partition = partition(topic, query.getOrDefault("part", "0"));
			switch (exchange.getRequestURI().getPath()) {
				case "/log-append" -> append(exchange, topic, partition, query, body);
				case "/log-read" -> read(exchange, partition, query);
				case "/log-newest" -> newest(exchange, partition, query);
				default -> reply(exchange, 404, "{}".getBytes());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private void append(HttpExchange exchange, String topic, Partition partition, Map<String, String> query, byte[] body)
			throws IOException {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			reply(exchange, 403, "{}".getBytes());
			return;
		}
		List<byte[]> records = new ArrayList<>();
		ByteBuffer in = ByteBuffer.wrap(body);
		while (in.hasRemaining()) {
			byte[] record = new byte[in.getInt()];
			in.get(record);
			records.add(record);
		}
		if (body.length > 2_097_152 || records.stream().anyMatch((record) -> record.length > 262_144)) {
			reply(exchange, 413, "{}".getBytes());
			return;
		}
		String[] answer = partition.append(records, query);
		if (Site.random().nextDouble() < this.lostShare) {
			Site.sleep(LOST_ANSWER_MILLIS);
			return;
		}
		reply(exchange, Integer.parseInt(answer[0]), answer[1].getBytes());
	}

	private void read(HttpExchange exchange, Partition partition, Map<String, String> query)
			throws IOException, InterruptedException {
		long from = Long.parseLong(query.get("from"));
		long untilMillis = Site.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
		reply(exchange, 200, partition.read(from, untilMillis));
	}

	private void newest(HttpExchange exchange, Partition partition, Map<String, String> query) throws IOException {
		reply(exchange, 200, partition.newest(query.get("after")).getBytes(StandardCharsets.UTF_8));
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String pair : (text == null ? "" : text).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
		exchange.getResponseBody().write(body);
	}

	private static final class Partition {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Object[]> newest = new TreeMap<>();

		private final Map<String, Producer> producers = new HashMap<>();

		synchronized void append(List<byte[]> added) {
			for (byte[] record : added) {
				long offset = this.records.size();
				this.records.add(record);
				if (record.length == 0) {
					continue;
				}
				int keyLength = record[0] & 0xff;
				String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
				if (record.length == 1 + keyLength) {
					this.newest.remove(key);
				}
				else {
					byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
					this.newest.put(key, new Object[] { offset, value });
				}
			}
			notifyAll();
		}

		synchronized String[] append(List<byte[]> added, Map<String, String> query) {
			if (query.containsKey("at") && Long.parseLong(query.get("at")) != this.records.size()) {
				return new String[] { "412", "{\"end_offset\":" + this.records.size() + "}" };
			}
			Producer producer = null;
			if (query.containsKey("producer")) {
				producer = this.producers.computeIfAbsent(query.get("producer"), (key) -> new Producer());
				long epoch = Long.parseLong(query.get("epoch"));
				long sequence = Long.parseLong(query.get("sequence"));
				if (epoch < producer.epoch) {
					return new String[] { "409", "{\"reason\":\"fenced\"}" };
				}
				if (epoch > producer.epoch) {
					producer.epoch = epoch;
					producer.answers.clear();
				}
				else {
					if (producer.answers.containsKey(sequence)) {
						return producer.answers.get(sequence);
					}
					if (sequence != producer.sequence + 1) {
						return new String[] { "409",
								"{\"reason\":\"seq\",\"sequence\":" + (producer.sequence + 1) + "}" };
					}
				}
				producer.sequence = sequence;
			}
			long offset = this.records.size();
			append(added);
			String[] answer = { "200", "{\"offset\":" + offset + ",\"end_offset\":" + this.records.size() + "}" };
			if (producer != null) {
				producer.answers.put(producer.sequence, answer);
				producer.answers.remove(producer.sequence - 5);
			}
			return answer;
		}

		synchronized byte[] read(long from, long untilMillis) throws InterruptedException {
			while (from >= this.records.size() && Site.now() < untilMillis) {
				wait(Math.max(1, untilMillis - Site.now()));
			}
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.writeBytes(ByteBuffer.allocate(16).putLong(this.records.size()).putLong(0).array());
			for (long offset = from; offset < this.records.size() && out.size() < 1_000_000; offset++) {
				byte[] record = this.records.get((int) offset);
				out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
				out.writeBytes(record);
			}
			return out.toByteArray();
		}

		synchronized String newest(String after) {
			StringBuilder out = new StringBuilder("{\"items\":[");
			int count = 0;
			boolean more = false;
			for (Map.Entry<String, Object[]> entry : (after == null ? this.newest
					: this.newest.tailMap(after, false)).entrySet()) {
				if (count == 500 || out.length() > 1_000_000) {
					more = true;
					break;
				}
				out.append(count++ > 0 ? "," : "")
					.append("{\"key\":")
					.append(Json.quote(entry.getKey()))
					.append(",\"value\":\"")
					.append(Base64.getEncoder().encodeToString((byte[]) entry.getValue()[1]))
					.append("\",\"offset\":")
					.append(entry.getValue()[0])
					.append('}');
			}
			return out.append("],\"has_more\":")
				.append(more)
				.append(",\"end_offset\":")
				.append(this.records.size())
				.append('}')
				.toString();
		}

	}

	private static final class Producer {

		private long epoch = -1;

		private long sequence;

		private final Map<Long, String[]> answers = new HashMap<>();

	}

}
