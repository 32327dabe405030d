package org.masticwick.daemon.process;

import java.net.InetSocketAddress;
import java.net.SocketException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.daemon.connection.http.RequestEdge;
import org.masticwick.daemon.process.settings.RequestSettings;
import org.masticwick.daemon.process.settings.Settings;

/**
 * An entry host process, from its start to the end of its planned stop.
 */
public final class EntryHostProcess {

	private static final Logger logger = LoggerFactory.getLogger(EntryHostProcess.class);

	/** The bodies of unanswered requests may use this fraction, 1 / n, of the heap. */
	private static final int BODY_HEAP_DIVISOR = 4;

	/** How many bodies of maximum size are allowed at once, however small the heap. */
	private static final int MIN_BUFFERED_BODY_COUNT = 2;

	/** The time between announcing the stop and handing the tickets over. */
	private static final long LEAVING_NOTICE_MILLIS = 1_000;

	private static final long IDLE_POLL_MILLIS = 20;

	/** The time that the last answers have to be sent before connections are closed. */
	private static final long LAST_ANSWERS_MILLIS = 500;

	private final Settings settings;

	private final EntryHostComponents components;

	private final ApiServer apiServer;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private EntryHostProcess(Settings settings) {
		this.settings = settings;
		RequestEdge.enable();
		this.components = createListener("host.peer_address", settings.host().peerAddress(),
				() -> new EntryHostComponents(settings));
		InetSocketAddress address = settings.host().apiAddress();
		this.apiServer = createListener("host.api_address", address, () -> new ApiServer(this.components.apiBackend(),
				apiLimits(settings.requests()), address.getHostString(), address.getPort()));
	}

	private static <T> T createListener(String key, InetSocketAddress address, Supplier<T> constructor) {
		try {
			return constructor.get();
		}
		catch (Exception ex) {
			if (Stream.iterate((Throwable) ex, Objects::nonNull, Throwable::getCause)
				.noneMatch(SocketException.class::isInstance)) {
				throw ex;
			}
			throw new StartFailedException(key, address.getHostString() + ":" + address.getPort(), ex);
		}
	}

	private static ApiLimits apiLimits(RequestSettings requests) {
		long totalBodyBytes = Math.max(MIN_BUFFERED_BODY_COUNT * (long) requests.bodyBytesMax(),
				Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR);
		return new ApiLimits(requests.headerBytesMax(), requests.bodyBytesMax(), totalBodyBytes,
				requests.bodyTimeoutMillis(), requests.waitMaxMillis());
	}

	/**
	 * Starts an entry host.
	 * @param settings the settings
	 * @return the running process
	 * @throws StartFailedException if the process can't listen on one of its addresses
	 */
	public static EntryHostProcess start(Settings settings) {
		EntryHostProcess process = new EntryHostProcess(settings);
		process.components.start(process.apiServer.address());
		logger.atInfo()
			.addKeyValue("domain", settings.host().domain())
			.addKeyValue("api", process.apiServer.address())
			.addKeyValue("peer", process.peerAddress())
			.addKeyValue("incarnation", process.components.self().incarnation())
			.log("Entry host started");
		return process;
	}

	/**
	 * Returns the line for standard output that reports the addresses on which the
	 * started process listens.
	 * @return one line of JSON
	 */
	public String startedLine() {
		return "{\"event\":\"started\",\"api\":\"" + this.apiServer.address() + "\",\"peer\":\"" + peerAddress()
				+ "\"}";
	}

	private HostAddress peerAddress() {
		return this.components.self().peerAddress();
	}

	/**
	 * Blocks until the host has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	/**
	 * Performs a planned stop: announces that the host is leaving, hands the tickets over
	 * to a successor, waits for active jobs to complete and delivers their answers. Until
	 * load balancers have stopped sending requests, it forwards them to the successor.
	 * Jobs that are still active at the deadline are aborted.
	 * @return how many jobs were aborted
	 */
	public int stop() {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.stop().deadlineMillis());
		logger.atInfo().addKeyValue("jobs", this.components.activeJobCount()).log("Planned stop started");
		long drainEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.stop().drainMinMillis());
		this.components.announceLeaving();
		pause(LEAVING_NOTICE_MILLIS);
		CompletableFuture<Void> handover = this.components.handOverTickets();
		awaitIdle(deadlineNanos);
		int abortedJobCount = this.components.abortJobs();
		if (abortedJobCount > 0) {
			logger.atWarn()
				.addKeyValue("jobs_cut_off", abortedJobCount)
				.log("Stop deadline reached; remaining jobs aborted");
		}
		awaitHandover(handover, deadlineNanos);
		awaitDrained(drainEndNanos, deadlineNanos);
		pause(LAST_ANSWERS_MILLIS);
		this.apiServer.close();
		this.components.close();
		logger.atInfo().addKeyValue("jobs_cut_off", abortedJobCount).log("Planned stop completed");
		this.stopped.countDown();
		return abortedJobCount;
	}

	private void awaitDrained(long drainEndNanos, long deadlineNanos) {
		long endNanos = (deadlineNanos - drainEndNanos < 0) ? deadlineNanos : drainEndNanos;
		pause(TimeUnit.NANOSECONDS.toMillis(Math.max(0, endNanos - System.nanoTime())));
		awaitIdle(deadlineNanos);
	}

	private void awaitIdle(long deadlineNanos) {
		while (this.components.openRequestCount() > 0 && System.nanoTime() - deadlineNanos < 0) {
			pause(IDLE_POLL_MILLIS);
		}
	}

	private static void awaitHandover(CompletableFuture<Void> handover, long deadlineNanos) {
		try {
			long remainingNanos = Math.max(deadlineNanos - System.nanoTime(), Duration.ofSeconds(1).toNanos());
			handover.get(remainingNanos, TimeUnit.NANOSECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.warn("Not all answers were delivered to the successor; the stop continues without them", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
