import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: a log with the calls of PROTOCOL.md that the hosts use. Nothing
 * expires, as a run is shorter than keep_s.
 */
final class Store {

	static final int RECORD_BYTES = 262_144;

	static final int REQUEST_BYTES = 2_097_152;

	private static final int APPEND_MILLIS = 1;

	private static final int PAGE_RECORDS = 500;

	private static final int PAGE_BYTES = 1 << 20;

	private final Map<String, Partition> partitions = new HashMap<>();

	/** How the store is down: it answers nothing, or 503. */
	enum Outage {

		NONE, SILENT, BUSY

	}

	private volatile Outage outage = Outage.NONE;

	private final Object readArrived = new Object();

	/** Appends that were answered with 400, as a record was longer than record_bytes. */
	private int tooLong;

	private int longest;

	private synchronized Partition partition(String topic, String part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (key) -> new Partition(topic.equals("keyed.jobs")));
	}

	synchronized int tooLong() {
		return this.tooLong;
	}

	synchronized int longest() {
		return this.longest;
	}

	/** Writes a record as the operator or a worker does. */
	void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array();
		partition(topic, "0").append(List.of(content));
	}

	/** The newest value of a key, or null. */
	String newest(String topic, String key) {
		Partition partition = partition(topic, "0");
		synchronized (partition) {
			Newest found = partition.newest.get(key);
			return (found != null) ? new String(found.value, StandardCharsets.ISO_8859_1) : null;
		}
	}

	void setOutage(Outage newOutage) {
		this.outage = newOutage;
	}

	/** Waits until a host has just asked for new records of the hosts' own topic. */
	void awaitRead() throws InterruptedException {
		synchronized (this.readArrived) {
			this.readArrived.wait(2_000);
		}
	}

	// A call that comes while the store is down is not carried out.
	private boolean isDown(Http.Call call) {
		Outage now = this.outage;
		if (now == Outage.BUSY) {
			call.answer(503, "{}");
		}
		else if (now == Outage.SILENT) {
			while (this.outage == Outage.SILENT) {
				Record.sleep(20);
			}
			call.exchange().close();
		}
		return now != Outage.NONE;
	}

	void handle(Http.Call call) throws Exception {
		if (call.path().equals("/log-read") && "keyed.members".equals(call.query().get("topic"))) {
			synchronized (this.readArrived) {
				this.readArrived.notifyAll();
			}
		}
		if (isDown(call)) {
			return;
		}
		Partition partition = partition(call.query().getOrDefault("topic", ""), call.query().getOrDefault("part", "0"));
		switch (call.path()) {
			case "/log-append" -> append(partition, call);
			case "/log-read" -> read(partition, call);
			case "/log-newest" -> newest(partition, call);
			default -> call.answer(404, "{}");
		}
	}

	private void append(Partition partition, Http.Call call) {
		Map<String, String> query = call.query();
		synchronized (partition) {
			Record.sleep(APPEND_MILLIS);
			List<byte[]> records = new ArrayList<>();
			ByteBuffer in = ByteBuffer.wrap(call.body());
			while (in.hasRemaining()) {
				byte[] content = new byte[in.getInt()];
				in.get(content);
				records.add(content);
			}
			int longestRecord = records.stream().mapToInt((record) -> record.length).max().orElse(0);
			synchronized (this) {
				this.longest = Math.max(this.longest, longestRecord);
			}
			if (longestRecord > RECORD_BYTES || call.body().length > REQUEST_BYTES) {
				synchronized (this) {
					if (this.tooLong++ == 0) {
						Record.line("store: first append with a record of " + longestRecord + " bytes; refused, as record_bytes is "
								+ RECORD_BYTES);
					}
				}
				call.answer(400, "{}");
				return;
			}
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != partition.records.size()) {
				call.answer(412, "{\"end_offset\":" + partition.records.size() + "}");
				return;
			}
			if (query.containsKey("producer") && !partition.admits(query, records.isEmpty(), call)) {
				return;
			}
			int offset = partition.records.size();
			partition.append(records);
			String answer = "{\"offset\":" + offset + ",\"end_offset\":" + partition.records.size() + "}";
			if (query.containsKey("producer")) {
				partition.lastAnswers.put(Long.parseLong(query.get("sequence")), answer);
			}
			call.answer(200, answer);
		}
	}

	private void read(Partition partition, Http.Call call) throws InterruptedException {
		int from = Integer.parseInt(call.query().get("from"));
		long untilNanos = System.nanoTime() + 1_000_000L * Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
		byte[] page;
		synchronized (partition) {
			while (from >= partition.records.size()) {
				long waitMillis = (untilNanos - System.nanoTime()) / 1_000_000;
				if (waitMillis <= 0) {
					break;
				}
				partition.wait(waitMillis);
			}
			page = partition.page(from);
		}
		if (isDown(call)) {
			return;
		}
		call.answer(200, page);
	}

	private void newest(Partition partition, Http.Call call) {
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean more = false;
		int end;
		synchronized (partition) {
			end = partition.records.size();
			for (Map.Entry<String, Newest> entry : partition.newest.tailMap(call.query().getOrDefault("after", ""), false)
				.entrySet()) {
				if (count == PAGE_RECORDS || items.length() > PAGE_BYTES) {
					more = true;
					break;
				}
				items.append((count++ == 0) ? "" : ",")
					.append("{\"key\":")
					.append(Json.quote(entry.getKey()))
					.append(",\"value\":\"")
					.append(Base64.getEncoder().encodeToString(entry.getValue().value))
					.append("\",\"offset\":")
					.append(entry.getValue().offset)
					.append("}");
			}
		}
		call.answer(200, "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":" + end + "}");
	}

	private record Newest(byte[] value, int offset) {
	}

	private static final class Partition {

		private static final byte[] EMPTY = {};

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Newest> newest = new TreeMap<>();

		private final TreeMap<Long, String> lastAnswers = new TreeMap<>();

		/** Whether only the newest record of each key is needed, which keeps the run small. */
		private final boolean compacted;

		private long epoch = -1;

		private long lastSequence = -1;

		private Partition(boolean compacted) {
			this.compacted = compacted;
		}

		// Returns whether a producer may append; answers the call itself if it may not.
		private boolean admits(Map<String, String> query, boolean empty, Http.Call call) {
			long newEpoch = Long.parseLong(query.get("epoch"));
			long sequence = Long.parseLong(query.get("sequence"));
			if (newEpoch < this.epoch) {
				call.answer(409, "{\"reason\":\"fenced\"}");
				return false;
			}
			if (newEpoch > this.epoch) {
				this.epoch = newEpoch;
				this.lastSequence = sequence;
				this.lastAnswers.clear();
				return true;
			}
			if (empty) {
				return true;
			}
			if (sequence == this.lastSequence + 1) {
				this.lastSequence = sequence;
				while (this.lastAnswers.size() > 5) {
					this.lastAnswers.pollFirstEntry();
				}
				return true;
			}
			String repeated = this.lastAnswers.get(sequence);
			if (repeated != null) {
				call.answer(200, repeated);
			}
			else {
				call.answer(409, "{\"reason\":\"seq\",\"expected\":" + (this.lastSequence + 1) + "}");
			}
			return false;
		}

		synchronized void append(List<byte[]> added) {
			for (byte[] content : added) {
				int valueAt = (content.length > 0) ? 1 + (content[0] & 0xff) : 1;
				if (valueAt <= content.length) {
					String key = new String(content, 1, valueAt - 1, StandardCharsets.UTF_8);
					if (valueAt == content.length) {
						this.newest.remove(key);
					}
					else {
						this.newest.put(key,
								new Newest(Arrays.copyOfRange(content, valueAt, content.length), this.records.size()));
					}
				}
				this.records.add(this.compacted ? EMPTY : content);
			}
			notifyAll();
		}

		private byte[] page(int from) {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.writeBytes(ByteBuffer.allocate(16).putLong(this.records.size()).putLong(0).array());
			for (int offset = from; offset < this.records.size() && out.size() < PAGE_BYTES; offset++) {
				byte[] content = this.records.get(offset);
				out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
				out.writeBytes(content);
			}
			return out.toByteArray();
		}

	}

}
