package org.masticwick.daemon.version;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.platform.Backoff;
import org.masticwick.platform.PlatformClient;

/**
 * Follows the log of release notes on a thread of its own until it is closed, and makes
 * accepted notes part of the active version.
 */
public final class LogFollower implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);

	private static final long CLOSE_TIMEOUT_MILLIS = 500;

	private final LogTracker tracker;

	private final Backoff backoff;

	private final TimeSource time;

	private final CountDownLatch closing = new CountDownLatch(1);

	private final Thread thread;

	private volatile FollowerStatus status = new FollowerStatus(false, 0, false, 0, "");

	/**
	 * Creates a follower that reads nothing before {@link #start()}.
	 * @param platform the client of the platform that holds the log
	 * @param registry holds the active version and receives the records read
	 * @param settings intervals and limits
	 * @param time the clock
	 * @param random the source of jitter; used by the follower's thread only
	 */
	public LogFollower(PlatformClient platform, VersionRegistry registry, FollowerSettings settings, TimeSource time,
			RandomGenerator random) {
		this.tracker = new LogTracker(platform, registry, settings, time, random);
		this.backoff = new Backoff(settings.minBackoff(), settings.maxBackoff(), random);
		this.time = time;
		this.thread = new Thread(this::run, "log-follower");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread that reads the log.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Returns the outcome of the reads so far.
	 * @return the status
	 */
	public FollowerStatus status() {
		return this.status;
	}

	/**
	 * Stops reading the log. Interrupts the thread and waits up to half a second for it;
	 * if a read ignores the interrupt, the thread terminates when that read returns.
	 */
	@Override
	public void close() {
		this.closing.countDown();
		this.thread.interrupt();
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		int failureCount = 0;
		boolean running = true;
		while (running) {
			try {
				boolean stepAgainAtOnce = this.tracker.step();
				recordSuccess();
				failureCount = 0;
				running = awaitDelay((stepAgainAtOnce) ? 0 : this.backoff.delay(0).toMillis());
			}
			catch (RuntimeException ex) {
				recordFailure(ex);
				running = awaitDelay(this.backoff.delay(failureCount++).toMillis());
			}
		}
	}

	private boolean awaitDelay(long millis) {
		try {
			return !this.closing.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			return false;
		}
	}

	private void recordSuccess() {
		this.status = new FollowerStatus(true, this.time.nanoTime(), this.tracker.logBehind(),
				this.status.failureCount(), this.status.lastFailure());
	}

	private void recordFailure(RuntimeException ex) {
		this.tracker.forceCheck();
		LOG.debug("Reading the log of release notes failed; retrying after a backoff", ex);
		this.status = new FollowerStatus(this.status.everSucceeded(), this.status.lastSuccessNanos(),
				this.tracker.logBehind(), this.status.failureCount() + 1, ex.toString());
	}

}
