package review3;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * One partition of the platform's store, with the newest record of each key, and with the
 * epochs and sequence numbers of its producers.
 */
final class StorePartition {

	private static final int PAGE_SIZE = 500;

	private static final int MAX_READ_BYTES = 1 << 20;

	private static final int MAX_RECORD_BYTES = 262_144;

	private static final int REPEATED_APPENDS = 5;

	private final List<byte[]> records = new ArrayList<>();

	private final NavigableMap<String, Newest> newest = new TreeMap<>();

	private final Map<String, Producer> producers = new HashMap<>();

	/**
	 * Appends records as the operator or a worker does.
	 */
	synchronized void put(String key, byte[] value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		add(ByteBuffer.allocate(1 + keyBytes.length + value.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(value)
			.array());
		notifyAll();
	}

	synchronized HttpResponse append(HttpRequest request) {
		int endOffset = this.records.size();
		if (request.number("at", endOffset) != endOffset) {
			return HttpResponse.json(412, "{\"end_offset\":" + endOffset + "}");
		}
		Producer producer = null;
		if (request.query().containsKey("producer")) {
			producer = this.producers.computeIfAbsent(request.query().get("producer"), (name) -> new Producer());
			HttpResponse answer = producer.check(request);
			if (answer != null) {
				return answer;
			}
		}
		List<byte[]> added = split(request.body());
		if (added.stream().anyMatch((each) -> each.length > MAX_RECORD_BYTES)) {
			return HttpResponse.json(400, "{\"reason\":\"record_bytes\"}");
		}
		added.forEach(this::add);
		notifyAll();
		HttpResponse answer = HttpResponse.json(200,
				"{\"offset\":" + endOffset + ",\"end_offset\":" + this.records.size() + "}");
		if (producer != null) {
			producer.appended(request, answer);
		}
		return answer;
	}

	private static List<byte[]> split(byte[] body) {
		List<byte[]> contents = new ArrayList<>();
		ByteBuffer in = ByteBuffer.wrap(body);
		while (in.hasRemaining()) {
			byte[] content = new byte[in.getInt()];
			in.get(content);
			contents.add(content);
		}
		return contents;
	}

	private void add(byte[] content) {
		int offset = this.records.size();
		this.records.add(content);
		int valueIndex = (content.length > 0) ? 1 + (content[0] & 0xff) : 1;
		if (valueIndex > content.length) {
			return;
		}
		String key = new String(content, 1, valueIndex - 1, StandardCharsets.UTF_8);
		if (valueIndex == content.length) {
			this.newest.remove(key);
		}
		else {
			this.newest.put(key, new Newest(Arrays.copyOfRange(content, valueIndex, content.length), offset));
		}
	}

	/**
	 * Returns the records from an offset on, as soon as there is one.
	 */
	synchronized HttpResponse read(HttpRequest request) {
		int from = (int) request.number("from", 0);
		long untilMillis = Clock.nowMillis() + request.number("wait_ms", 0);
		while (from >= this.records.size() && Clock.nowMillis() < untilMillis) {
			try {
				wait(Math.max(1, untilMillis - Clock.nowMillis()));
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(this.records.size()).putLong(0).array());
		for (int offset = from; offset < this.records.size() && out.size() < MAX_READ_BYTES; offset++) {
			byte[] content = this.records.get(offset);
			out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(content.length).array());
			out.writeBytes(content);
		}
		return new HttpResponse(200, out.toByteArray());
	}

	synchronized HttpResponse newest(HttpRequest request) {
		NavigableMap<String, Newest> remaining = this.newest.tailMap(request.query().getOrDefault("after", ""), false);
		List<String> items = new ArrayList<>();
		int bytes = 0;
		for (Map.Entry<String, Newest> entry : remaining.entrySet()) {
			if (items.size() == PAGE_SIZE || bytes > MAX_READ_BYTES) {
				break;
			}
			bytes += entry.getValue().value().length;
			items.add("{\"key\":" + Json.quote(entry.getKey()) + ",\"value\":\""
					+ Base64.getEncoder().encodeToString(entry.getValue().value()) + "\",\"offset\":"
					+ entry.getValue().offset() + "}");
		}
		return HttpResponse.json(200,
				"{\"items\":[" + items.stream().collect(Collectors.joining(",")) + "],\"has_more\":"
						+ (items.size() < remaining.size()) + ",\"end_offset\":" + this.records.size() + "}");
	}

	private record Newest(byte[] value, int offset) {
	}

	/**
	 * The epoch of a producer, and the answers to its last appends.
	 */
	private static final class Producer {

		private long epoch = -1;

		private long lastSequence = -1;

		private final Map<Long, HttpResponse> answers = new HashMap<>();

		private final Deque<Long> answered = new ArrayDeque<>();

		private HttpResponse check(HttpRequest request) {
			long requestEpoch = request.number("epoch", 0);
			long sequence = request.number("sequence", 0);
			if (requestEpoch < this.epoch) {
				return HttpResponse.json(409, "{\"reason\":\"fenced\"}");
			}
			if (requestEpoch > this.epoch) {
				this.epoch = requestEpoch;
				this.lastSequence = -1;
				this.answers.clear();
				this.answered.clear();
			}
			if (request.body().length == 0) {
				return HttpResponse.json(200, "{\"offset\":0,\"end_offset\":0}");
			}
			if (this.answers.containsKey(sequence)) {
				return this.answers.get(sequence);
			}
			if (this.lastSequence >= 0 && sequence != this.lastSequence + 1) {
				return HttpResponse.json(409, "{\"reason\":\"seq\",\"sequence\":" + (this.lastSequence + 1) + "}");
			}
			return null;
		}

		private void appended(HttpRequest request, HttpResponse answer) {
			this.lastSequence = request.number("sequence", 0);
			this.answers.put(this.lastSequence, answer);
			this.answered.add(this.lastSequence);
			if (this.answered.size() > REPEATED_APPENDS) {
				this.answers.remove(this.answered.poll());
			}
		}

	}

}
