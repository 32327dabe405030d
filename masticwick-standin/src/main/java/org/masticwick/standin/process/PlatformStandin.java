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
 * Stands in for the platform: the log, the list of hosts, and their faults.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final String LOG_PREFIX = "/log/";

	private static final String HOSTS_PATH = "/hosts";

	private static final int MAX_CONNECTION_COUNT = 4096;

	private static final int MAX_PAGE_COUNT = 1000;

	private static final int MAX_BATCH_COUNT = 1000;

	private static final long MAX_WAIT_MILLIS = 60_000;

	private static final int THREAD_COUNT = 2;

	private final TimeSource time;

	private final PlatformOptions options;

	private final EventLoopGroup group = new NioEventLoopGroup(THREAD_COUNT);

	private final HttpListener listener;

	private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

	private final HostList hosts;

	private final AppendQueue appends;

	private final PlatformOutage outage = new PlatformOutage();

	private final AtomicInteger repliesToLose = new AtomicInteger();

	/**
	 * Creates a platform that doesn't listen yet.
	 * @param options how it is set up
	 * @param time the clock
	 */
	public PlatformStandin(PlatformOptions options, TimeSource time) {
		this.options = options;
		this.time = time;
		this.hosts = new HostList(options.hostListLagMillis());
		this.appends = new AppendQueue(time, options.appendDelayMillis(), options.maxAppendsPerSecond());
		this.listener = new HttpListener(this.group, MAX_CONNECTION_COUNT, this::handle);
	}

	/**
	 * Opens the listener.
	 * @param ip the IP number
	 * @param port the port, or 0 for one that the operating system chooses
	 * @return where it listens
	 * @throws StandinException if the address can't be had
	 */
	public HostAddress open(String ip, int port) {
		return this.listener.open(ip, port);
	}

	@Override
	public void close() {
		this.listener.close();
		this.appends.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private void handle(HttpExchange exchange) {
		if (exchange.path().startsWith("/admin/")) {
			admin(exchange);
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
			log(exchange, path.substring(LOG_PREFIX.length()));
		}
		else if (path.equals(HOSTS_PATH) && exchange.method().equals("GET")) {
			hosts(exchange);
		}
		else if (path.startsWith(HOSTS_PATH + "/")) {
			host(exchange, address(path.substring(HOSTS_PATH.length() + 1)));
		}
		else {
			respond(exchange, HttpResponse.of(404));
		}
	}

	private void hosts(HttpExchange exchange) {
		HttpResponse whole = HttpResponse.json(200, Map.of("hosts", this.hosts.list(this.time.nanoTime())));
		String tag = "\"" + UUID.nameUUIDFromBytes(whole.body()) + "\"";
		HttpResponse told = tag.equals(exchange.header("If-None-Match")) ? HttpResponse.of(304) : whole;
		respond(exchange, told.withHeader("ETag", tag));
	}

	private void log(HttpExchange exchange, String stream) {
		switch (exchange.method()) {
			case "POST" -> append(exchange, stream);
			case "GET" -> read(exchange, stream(stream));
			default -> respond(exchange, HttpResponse.of(405));
		}
	}

	private void append(HttpExchange exchange, String stream) {
		List<String> records = Json.read(exchange.body(), Batch.class).records();
		if (records == null || records.isEmpty() || records.size() > MAX_BATCH_COUNT || records.contains(null)) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "A batch has 1 to " + MAX_BATCH_COUNT + " records");
		}
		this.appends.submit(() -> sync(exchange, stream(stream), records));
	}

	private void sync(HttpExchange exchange, LogStream stream, List<String> records) {
		if (this.outage.down()) {
			respond(exchange, HttpResponse.of(503));
			return;
		}
		LogStream.Appended appended = stream.append(records);
		if (this.repliesToLose.getAndUpdate((count) -> Math.max(0, count - 1)) > 0) {
			exchange.abort();
		}
		else {
			respond(exchange, HttpResponse.json(201, appended));
		}
	}

	private void read(HttpExchange exchange, LogStream stream) {
		long fromOffset = exchange.queryLong("from", 0);
		int limit = (int) Math.max(1, Math.min(MAX_PAGE_COUNT, exchange.queryLong("limit", MAX_PAGE_COUNT)));
		long waitMillis = Math.min(MAX_WAIT_MILLIS, exchange.queryLong("wait_ms", 0));
		Runnable reply = () -> answerRead(exchange, stream, fromOffset, limit);
		if (waitMillis <= 0) {
			reply.run();
			return;
		}
		ScheduledFuture<?> timer = this.appends.scheduler().schedule(() -> {
			stream.removeWaiter(reply);
			reply.run();
		}, waitMillis, TimeUnit.MILLISECONDS);
		stream.whenReadable(fromOffset, () -> {
			timer.cancel(false);
			reply.run();
		});
	}

	private void answerRead(HttpExchange exchange, LogStream stream, long fromOffset, int limit) {
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

	private void host(HttpExchange exchange, HostAddress address) {
		switch (exchange.method()) {
			case "PUT" ->
				this.hosts.put(address, Json.read(exchange.body(), HostList.HostLease.class), this.time.nanoTime());
			case "DELETE" -> this.hosts.remove(address, this.time.nanoTime());
			default -> {
				respond(exchange, HttpResponse.of(405));
				return;
			}
		}
		respond(exchange, HttpResponse.of(204));
	}

	private void respond(HttpExchange exchange, HttpResponse answer) {
		this.outage.runOrDefer(() -> exchange.respond(answer));
	}

	private void admin(HttpExchange exchange) {
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
		apply(faults.down(), this.outage::setDown);
		apply(faults.appendDelayMs(), this.appends::setDelay);
		apply(faults.loseReplies(), this.repliesToLose::set);
		apply(faults.hostListLagMs(), this.hosts::setLag);
		apply(faults.truncateTo(), stream(faults.stream())::truncateTo);
		apply(faults.expireBefore(), stream(faults.stream())::expireBefore);
		apply(faults.blackhole(), this.outage::setBlackhole);
	}

	private State state() {
		Map<String, LogStream.Summary> summaries = this.streams.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().summary(),
					(first, second) -> first, TreeMap::new));
		return new State(summaries, this.hosts.list(this.time.nanoTime()).size(), this.appends.waitingCount(),
				this.repliesToLose.get(), this.outage.down(), this.outage.blackhole());
	}

	private LogStream stream(String name) {
		return this.streams.computeIfAbsent(name, (key) -> new LogStream(this.options.retentionRecordCount()));
	}

	private static <T> void apply(T value, Consumer<T> setter) {
		if (value != null) {
			setter.accept(value);
		}
	}

	private static HostAddress address(String text) {
		try {
			return HostAddress.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, ex.getMessage(), ex);
		}
	}

	/**
	 * Is the body of an append.
	 *
	 * @param records the values
	 */
	private record Batch(List<String> records) {

	}

	/**
	 * Is what {@code GET /admin/state} tells.
	 *
	 * @param streams the streams by name
	 * @param hostCount how many hosts the list shows
	 * @param waitingAppendCount how many appends wait for their turn
	 * @param repliesToLoseCount how many appends to come get no answer
	 * @param down whether every request gets 503
	 * @param blackhole whether requests hang
	 */
	private record State(Map<String, LogStream.Summary> streams, int hostCount, int waitingAppendCount,
			int repliesToLoseCount, boolean down, boolean blackhole) {

	}

}
