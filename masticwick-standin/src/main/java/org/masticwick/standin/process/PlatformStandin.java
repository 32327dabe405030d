package org.masticwick.standin.process;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.HttpExchange;
import org.masticwick.standin.connection.HttpListener;
import org.masticwick.standin.connection.HttpResponse;
import org.masticwick.standin.connection.Json;
import org.masticwick.standin.connection.StandinException;

/**
 * Simulates the platform: the append-only log and the host list, with faults that tests
 * set over {@code /admin/faults}.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final String LOG_PREFIX = "/log/";

	private static final String HOSTS_PATH = "/hosts";

	private static final int MAX_CONNECTION_COUNT = 4096;

	private static final int MAX_PAGE_RECORD_COUNT = 1000;

	private static final int MAX_BATCH_RECORD_COUNT = 1000;

	private static final long MAX_WAIT_MILLIS = 60_000;

	private static final int THREAD_COUNT = 2;

	private final TimeSource time;

	private final PlatformOptions options;

	private final EventLoopGroup group = new NioEventLoopGroup(THREAD_COUNT);

	private final HttpListener listener;

	private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

	private final HostList hostList;

	private final AppendQueue appendQueue;

	private final PlatformOutage outage = new PlatformOutage();

	private final AtomicInteger responsesToLoseCount = new AtomicInteger();

	/**
	 * Creates a platform without opening its listener.
	 * @param options the settings
	 * @param time the clock
	 */
	public PlatformStandin(PlatformOptions options, TimeSource time) {
		this.options = options;
		this.time = time;
		this.hostList = new HostList(options.hostListLagMillis());
		this.appendQueue = new AppendQueue(time, options.appendDelayMillis(), options.maxAppendsPerSecond());
		this.listener = new HttpListener(this.group, MAX_CONNECTION_COUNT, this::handle);
	}

	/**
	 * Opens the listener.
	 * @param ip the IP address to listen on
	 * @param port the port, or 0 for one that the operating system chooses
	 * @return the address of the listener
	 * @throws StandinException if the thread is interrupted while the listener is opened
	 */
	public HostAddress open(String ip, int port) {
		return this.listener.open(ip, port);
	}

	@Override
	public void close() {
		this.listener.close();
		this.appendQueue.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private void handle(HttpExchange exchange) {
		if (exchange.path().startsWith("/admin/")) {
			handleAdmin(exchange);
		}
		else {
			this.outage.runOrDefer(() -> exchange.serve(this::serve));
		}
	}

	private void serve(HttpExchange exchange) {
		String path = exchange.path();
		if (this.outage.down()) {
			respond(exchange, HttpResponse.of(503));
		}
		else if (path.startsWith(LOG_PREFIX) && path.length() > LOG_PREFIX.length()) {
			handleLog(exchange, path.substring(LOG_PREFIX.length()));
		}
		else if (path.equals(HOSTS_PATH) && exchange.method().equals("GET")) {
			listHosts(exchange);
		}
		else if (path.startsWith(HOSTS_PATH + "/")) {
			handleHost(exchange, parseAddress(path.substring(HOSTS_PATH.length() + 1)));
		}
		else {
			respond(exchange, HttpResponse.of(404));
		}
	}

	private void listHosts(HttpExchange exchange) {
		HttpResponse fullResponse = HttpResponse.json(200, Map.of("hosts", this.hostList.list(this.time.nanoTime())));
		String entityTag = "\"" + UUID.nameUUIDFromBytes(fullResponse.body()) + "\"";
		HttpResponse response = entityTag.equals(exchange.header("If-None-Match")) ? HttpResponse.of(304)
				: fullResponse;
		respond(exchange, response.withHeader("ETag", entityTag));
	}

	private void handleLog(HttpExchange exchange, String streamName) {
		switch (exchange.method()) {
			case "POST" -> append(exchange, streamName);
			case "GET" -> read(exchange, stream(streamName));
			default -> respond(exchange, HttpResponse.of(405));
		}
	}

	private void append(HttpExchange exchange, String streamName) {
		List<String> records = Json.read(exchange.body(), Batch.class).records();
		if (records == null || records.isEmpty() || records.size() > MAX_BATCH_RECORD_COUNT || records.contains(null)) {
			throw new StandinException(ErrorCode.INVALID_REQUEST,
					"records must hold 1 to " + MAX_BATCH_RECORD_COUNT + " strings");
		}
		this.appendQueue.submit(() -> commit(exchange, stream(streamName), records));
	}

	private void commit(HttpExchange exchange, LogStream stream, List<String> records) {
		if (this.outage.down()) {
			respond(exchange, HttpResponse.of(503));
			return;
		}
		LogStream.Appended appended = stream.append(records);
		if (this.responsesToLoseCount.getAndUpdate((count) -> Math.max(0, count - 1)) > 0) {
			exchange.abort();
		}
		else {
			respond(exchange, HttpResponse.json(201, appended));
		}
	}

	private void read(HttpExchange exchange, LogStream stream) {
		long fromOffset = exchange.queryLong("from", 0);
		int limit = (int) Math.max(1,
				Math.min(MAX_PAGE_RECORD_COUNT, exchange.queryLong("limit", MAX_PAGE_RECORD_COUNT)));
		long waitMillis = Math.min(MAX_WAIT_MILLIS, exchange.queryLong("wait_ms", 0));
		Runnable sendPage = () -> respondToRead(exchange, stream, fromOffset, limit);
		if (waitMillis <= 0) {
			sendPage.run();
			return;
		}
		ScheduledFuture<?> timer = this.appendQueue.scheduler().schedule(() -> {
			stream.removeWaitingRead(sendPage);
			sendPage.run();
		}, waitMillis, TimeUnit.MILLISECONDS);
		stream.whenReadable(fromOffset, () -> {
			timer.cancel(false);
			sendPage.run();
		});
	}

	private void respondToRead(HttpExchange exchange, LogStream stream, long fromOffset, int limit) {
		LogStream.Page page = stream.read(fromOffset, limit);
		if (this.outage.down()) {
			respond(exchange, HttpResponse.of(503));
		}
		else if (fromOffset < page.beginOffset()) {
			respond(exchange,
					HttpResponse.json(410, Map.of("begin_offset", page.beginOffset(), "end_offset", page.endOffset())));
		}
		else {
			respond(exchange, HttpResponse.json(200, page));
		}
	}

	private void handleHost(HttpExchange exchange, HostAddress address) {
		switch (exchange.method()) {
			case "PUT" ->
				this.hostList.put(address, Json.read(exchange.body(), HostList.HostLease.class), this.time.nanoTime());
			case "DELETE" -> this.hostList.remove(address, this.time.nanoTime());
			default -> {
				respond(exchange, HttpResponse.of(405));
				return;
			}
		}
		respond(exchange, HttpResponse.of(204));
	}

	private void respond(HttpExchange exchange, HttpResponse response) {
		this.outage.runOrDefer(() -> exchange.respond(response));
	}

	private void handleAdmin(HttpExchange exchange) {
		switch (exchange.method() + " " + exchange.path()) {
			case "POST /admin/faults" -> {
				applyFaults(Json.read(exchange.body(), PlatformFaults.class));
				exchange.respond(HttpResponse.of(204));
			}
			case "GET /admin/state" -> exchange.respond(HttpResponse.json(200, state()));
			default -> exchange.respond(HttpResponse.of(404));
		}
	}

	private void applyFaults(PlatformFaults faults) {
		setIfPresent(faults.down(), this.outage::setDown);
		setIfPresent(faults.appendDelayMs(), this.appendQueue::setDelay);
		setIfPresent(faults.loseReplies(), this.responsesToLoseCount::set);
		setIfPresent(faults.hostListLagMs(), this.hostList::setLag);
		setIfPresent(faults.truncateTo(), stream(faults.stream())::truncateTo);
		setIfPresent(faults.expireBefore(), stream(faults.stream())::expireBefore);
		setIfPresent(faults.blackhole(), this.outage::setBlackhole);
	}

	private State state() {
		Map<String, LogStream.Summary> summaries = this.streams.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().summary(),
					(summary, duplicate) -> summary, TreeMap::new));
		return new State(summaries, this.hostList.list(this.time.nanoTime()).size(), this.appendQueue.waitingCount(),
				this.responsesToLoseCount.get(), this.outage.down(), this.outage.blackhole());
	}

	private LogStream stream(String name) {
		return this.streams.computeIfAbsent(name, (key) -> new LogStream(this.options.retentionRecordCount()));
	}

	private static <T> void setIfPresent(T value, Consumer<T> setter) {
		if (value != null) {
			setter.accept(value);
		}
	}

	private static HostAddress parseAddress(String text) {
		try {
			return HostAddress.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, ex.getMessage(), ex);
		}
	}

	/**
	 * Body of an append.
	 *
	 * @param records the values of the records, appended as one batch
	 */
	private record Batch(List<String> records) {

	}

	/**
	 * Body of {@code GET /admin/state}.
	 *
	 * @param streams the state of each stream by its name
	 * @param hostCount the number of hosts on the host list as it is served now
	 * @param waitingAppendCount the number of actions in the queue of appends, see
	 * {@link AppendQueue#waitingCount()}
	 * @param repliesToLoseCount the number of upcoming appends to commit without a
	 * response
	 * @param down whether every request for the log or the host list gets 503
	 * @param blackhole whether requests and responses are held back
	 */
	private record State(Map<String, LogStream.Summary> streams, int hostCount, int waitingAppendCount,
			int repliesToLoseCount, boolean down, boolean blackhole) {

	}

}
