package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of the platform's store. Each host has a port of its own, so that the store
 * knows which host calls.
 */
final class Store {

	private static final long ANSWER_MILLIS = 4;

	private static final int WRITES_PER_SECOND = 600;

	private static final int READS_PER_SECOND = 2_000;

	private static final String MEMBERS_TOPIC = "keyed.members";

	private static final String CLAIM_PREFIX = "owner/";

	private final Map<String, StorePartition> partitions = new ConcurrentHashMap<>();

	private final Map<String, String> ownerByPool = new ConcurrentHashMap<>();

	private final Set<String> refusedHosts = ConcurrentHashMap.newKeySet();

	private final Record record;

	private final List<HttpServer> servers = new ArrayList<>();

	private final RateLimit writes = new RateLimit(WRITES_PER_SECOND);

	private final RateLimit reads = new RateLimit(READS_PER_SECOND);

	private volatile boolean silent;

	private volatile boolean down;

	Store(Record record) {
		this.record = record;
	}

	/**
	 * Listens for the calls of one host.
	 * @return the port
	 */
	int listen(String ip, String host) throws IOException {
		HttpServer server = new HttpServer(ip, (request) -> handle(host, request));
		this.servers.add(server);
		return server.port();
	}

	/**
	 * Leaves all calls unanswered and carries none of them out, or answers again.
	 */
	void setSilent(boolean nowSilent) {
		this.silent = nowSilent;
		this.record.line(nowSilent ? "the store answers no call from now on" : "the store answers again");
	}

	/**
	 * Resets all connections and carries out no call, or answers again.
	 */
	void setDown(boolean nowDown) {
		this.down = nowDown;
		if (nowDown) {
			this.servers.forEach(HttpServer::resetConnections);
		}
		this.record.line(nowDown ? "the store is down and resets all connections" : "the store answers again");
	}

	/**
	 * Turns a host away, or serves it again.
	 */
	void setRefused(String host, boolean refused) {
		if (refused) {
			this.refusedHosts.add(host);
		}
		else {
			this.refusedHosts.remove(host);
		}
		this.record.line("the store " + (refused ? "turns away " : "serves again ") + host);
	}

	void put(String topic, String key, String value) {
		partition(topic, "0").put(key, value.getBytes(StandardCharsets.UTF_8));
	}

	private StorePartition partition(String topic, String part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (name) -> new StorePartition());
	}

	/**
	 * Returns which host last wrote the owner of each failure domain.
	 */
	Map<String, String> owners() {
		return new TreeMap<>(this.ownerByPool);
	}

	private HttpResponse handle(String host, HttpRequest request) {
		if (this.down) {
			return HttpResponse.RESET;
		}
		if (this.silent) {
			return HttpResponse.UNANSWERED;
		}
		boolean write = request.path().equals("/log-append");
		if (!(write ? this.writes : this.reads).admit()) {
			this.record.line("the store refuses a call of " + host + " with 429: over the rate");
			return HttpResponse.json(429, "{}");
		}
		if (this.refusedHosts.contains(host)) {
			return HttpResponse.json(503, "{}");
		}
		String topic = request.query().getOrDefault("topic", "");
		StorePartition partition = partition(topic, request.query().getOrDefault("part", "0"));
		HttpResponse response = switch (request.path()) {
			case "/log-append" -> append(host, topic, partition, request);
			case "/log-read" -> partition.read(request);
			case "/log-newest" -> partition.newest(request);
			default -> HttpResponse.json(404, "{}");
		};
		Clock.sleep(ANSWER_MILLIS);
		if (this.down) {
			return HttpResponse.RESET;
		}
		return this.silent ? HttpResponse.UNANSWERED : response;
	}

	private HttpResponse append(String host, String topic, StorePartition partition, HttpRequest request) {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			return HttpResponse.json(403, "{}");
		}
		HttpResponse response = partition.append(request);
		if (topic.equals(MEMBERS_TOPIC) && response.status() == 200) {
			claimedPools(request.body()).forEach((pool) -> {
				this.ownerByPool.put(pool, host);
				this.record.line("the store holds a claim: " + host + " owns " + pool);
			});
		}
		if (response.status() == 400) {
			this.record.line("the store refuses an append of " + host + ": a record is too large");
		}
		return response;
	}

	// A record is its length, the length of its key, the key and the value.
	private static List<String> claimedPools(byte[] body) {
		List<String> pools = new ArrayList<>();
		java.nio.ByteBuffer in = java.nio.ByteBuffer.wrap(body);
		while (in.hasRemaining()) {
			byte[] content = new byte[in.getInt()];
			in.get(content);
			String key = new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
			if (key.startsWith(CLAIM_PREFIX) && content.length > 1 + key.length()) {
				pools.add(key.substring(CLAIM_PREFIX.length()));
			}
		}
		return pools;
	}

}
