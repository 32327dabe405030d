package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.platform.PlatformClient;
import org.masticwick.platform.PlatformException;
import org.masticwick.platform.PlatformHost;

/**
 * Registers this host in the platform's host list, renews the lease of its entry and
 * polls the list. While the platform is unreachable, the listener isn't called and so
 * keeps the list that it received last.
 */
public final class HostListFollower implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(HostListFollower.class);

	private static final int RENEWALS_PER_LEASE = 4;

	private static final int REDELIVERY_INTERVAL_COUNT = 10;

	private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

	private final PlatformClient platform;

	private final Duration interval;

	private final Duration lease;

	private final RandomGenerator random;

	private final TimeSource time;

	private final Consumer<List<PlatformHost>> listener;

	private final Semaphore wakeups = new Semaphore(0);

	private final Thread thread;

	private volatile PlatformHost self;

	private PlatformHost registeredSelf;

	private long registeredNanos;

	private List<PlatformHost> delivered;

	private long deliveredNanos;

	private volatile boolean closing;

	private volatile long failureCount;

	/**
	 * Creates a follower that makes no calls before {@link #start()}.
	 * @param platform the client of the platform that holds the list
	 * @param self the entry of this host
	 * @param interval longest interval between two reads of the list; the actual interval
	 * is between half of it and all of it, at random
	 * @param lease how long the entry of this host stays in the list unless renewed
	 * @param random the source of jitter; used by the follower's thread only
	 * @param time the clock
	 * @param listener receives each list that differs from the previous one, and an
	 * unchanged list again after ten intervals; called on the follower's thread
	 */
	public HostListFollower(PlatformClient platform, PlatformHost self, Duration interval, Duration lease,
			RandomGenerator random, TimeSource time, Consumer<List<PlatformHost>> listener) {
		this.platform = platform;
		this.self = self;
		this.interval = interval;
		this.lease = lease;
		this.random = random;
		this.time = time;
		this.listener = listener;
		this.thread = new Thread(this::run, "host-list-follower");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread that registers this host and polls the list.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Marks the entry of this host in the list as leaving, without waiting for the next
	 * interval, because the host is about to shut down.
	 */
	public void announceLeaving() {
		this.self = new PlatformHost(this.self.address(), this.self.role(), this.self.domain(),
				PlatformHost.State.LEAVING);
		this.wakeups.release();
	}

	/**
	 * Returns how many calls of the platform or the listener failed since the start.
	 * @return the count
	 */
	public long failureCount() {
		return this.failureCount;
	}

	/**
	 * Stops polling and removes this host from the list. Waits up to five seconds for the
	 * thread.
	 */
	@Override
	public void close() {
		this.closing = true;
		this.wakeups.release();
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		while (!this.closing) {
			runCountingFailures(this::renewIfDue);
			runCountingFailures(this::readHosts);
			awaitNextRound();
		}
		runCountingFailures(() -> this.platform.deregister(this.self.address()));
	}

	private void renewIfDue() {
		PlatformHost current = this.self;
		long nowNanos = this.time.nanoTime();
		if (!current.equals(this.registeredSelf)
				|| hasElapsed(this.registeredNanos, nowNanos, this.lease.dividedBy(RENEWALS_PER_LEASE))) {
			this.platform.register(current, this.lease);
			this.registeredSelf = current;
			this.registeredNanos = nowNanos;
		}
	}

	private void readHosts() {
		List<PlatformHost> hosts = this.platform.hosts();
		long nowNanos = this.time.nanoTime();
		if (hosts != this.delivered
				|| hasElapsed(this.deliveredNanos, nowNanos, this.interval.multipliedBy(REDELIVERY_INTERVAL_COUNT))) {
			this.listener.accept(hosts);
			this.delivered = hosts;
			this.deliveredNanos = nowNanos;
		}
	}

	private static boolean hasElapsed(long sinceNanos, long nowNanos, Duration duration) {
		return nowNanos - sinceNanos >= duration.toNanos();
	}

	private void runCountingFailures(Runnable call) {
		try {
			call.run();
		}
		catch (PlatformException ex) {
			this.failureCount++;
			LOG.debug("A call for the platform's host list failed; the list received last stays in use", ex);
		}
		catch (RuntimeException ex) {
			this.failureCount++;
			LOG.error("Processing the platform's host list failed; the follower continues with its next round", ex);
		}
	}

	private void awaitNextRound() {
		long intervalMillis = this.interval.toMillis();
		long jitteredMillis = intervalMillis / 2 + this.random.nextLong(intervalMillis / 2 + 1);
		try {
			if (this.wakeups.tryAcquire(jitteredMillis, TimeUnit.MILLISECONDS)) {
				this.wakeups.drainPermits();
			}
		}
		catch (InterruptedException ex) {
			this.closing = true;
		}
	}

}
