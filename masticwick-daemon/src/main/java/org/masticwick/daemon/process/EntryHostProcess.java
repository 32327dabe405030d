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
 * Runs an entry host, from the start of the process to its planned stop.
 */
public final class EntryHostProcess {

	private static final Logger logger = LoggerFactory.getLogger(EntryHostProcess.class);

	private static final long NOTICE_MILLIS = 1_000;

	private static final long POLL_MILLIS = 20;

	private static final long FAREWELL_MILLIS = 500;

	private final Settings settings;

	private final EntryHostParts parts;

	private final ApiServer api;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private EntryHostProcess(Settings settings) {
		this.settings = settings;
		RequestEdge.enable();
		this.parts = listening("host.peer_address", settings.host().peerAddress(), () -> new EntryHostParts(settings));
		InetSocketAddress address = settings.host().apiAddress();
		this.api = listening("host.api_address", address, () -> new ApiServer(this.parts.api(),
				limits(settings.requests()), address.getHostString(), address.getPort()));
	}

	private static <T> T listening(String key, InetSocketAddress address, Supplier<T> starter) {
		try {
			return starter.get();
		}
		catch (Exception ex) {
			if (Stream.iterate((Throwable) ex, Objects::nonNull, Throwable::getCause)
				.noneMatch(SocketException.class::isInstance)) {
				throw ex;
			}
			throw new StartFailedException(key, address.getHostString() + ":" + address.getPort(), ex);
		}
	}

	private static ApiLimits limits(RequestSettings requests) {
		return new ApiLimits(requests.headerBytesMax(), requests.bodyBytesMax(), requests.bodyTimeoutMillis(),
				requests.waitMaxMillis());
	}

	/**
	 * Starts an entry host.
	 * @param settings the settings
	 * @return the running host
	 * @throws StartFailedException if an address can't be listened at
	 */
	public static EntryHostProcess start(Settings settings) {
		EntryHostProcess process = new EntryHostProcess(settings);
		process.parts.start(process.api.address());
		logger.atInfo()
			.addKeyValue("domain", settings.host().domain())
			.addKeyValue("api", process.api.address())
			.addKeyValue("peer", process.peerAddress())
			.addKeyValue("incarnation", process.parts.self().incarnation())
			.log("Entry host started");
		return process;
	}

	/**
	 * Returns the line that tells the addresses of the started process.
	 * @return the line, in JSON
	 */
	public String startedLine() {
		return "{\"event\":\"started\",\"api\":\"" + this.api.address() + "\",\"peer\":\"" + peerAddress() + "\"}";
	}

	private HostAddress peerAddress() {
		return this.parts.self().peerAddress();
	}

	/**
	 * Blocks until the host has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	/**
	 * Stops as planned: announces it, hands the tickets over, lets the running jobs end,
	 * delivers their answers, passes requests on to the heir for as long as balancers may
	 * send them, and ends what is left at the deadline.
	 * @return how many jobs were cut off
	 */
	public int stop() {
		long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.stop().deadlineMillis());
		logger.atInfo().addKeyValue("jobs", this.parts.activeJobCount()).log("Stop begins");
		long drainedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.stop().drainMinMillis());
		this.parts.announceLeaving();
		pause(NOTICE_MILLIS);
		CompletableFuture<Void> delivered = this.parts.handOverTickets();
		awaitIdle(limitNanos);
		int cutOffCount = this.parts.stopJobs();
		if (cutOffCount > 0) {
			logger.atWarn().addKeyValue("jobs_cut_off", cutOffCount).log("Stop passed its deadline");
		}
		awaitDelivery(delivered, limitNanos);
		awaitDrained(drainedNanos, limitNanos);
		pause(FAREWELL_MILLIS);
		this.api.close();
		this.parts.close();
		logger.atInfo().addKeyValue("jobs_cut_off", cutOffCount).log("Stop ended");
		this.stopped.countDown();
		return cutOffCount;
	}

	private void awaitDrained(long drainedNanos, long limitNanos) {
		long endNanos = (limitNanos - drainedNanos < 0) ? limitNanos : drainedNanos;
		pause(TimeUnit.NANOSECONDS.toMillis(Math.max(0, endNanos - System.nanoTime())));
		awaitIdle(limitNanos);
	}

	private void awaitIdle(long limitNanos) {
		while (this.parts.openRequestCount() > 0 && System.nanoTime() - limitNanos < 0) {
			pause(POLL_MILLIS);
		}
	}

	private static void awaitDelivery(CompletableFuture<Void> delivered, long limitNanos) {
		try {
			long leftNanos = Math.max(limitNanos - System.nanoTime(), Duration.ofSeconds(1).toNanos());
			delivered.get(leftNanos, TimeUnit.NANOSECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.warn("Not every answer reached the heir", ex);
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
