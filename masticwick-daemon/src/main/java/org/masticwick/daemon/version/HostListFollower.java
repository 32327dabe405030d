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
 * Keeps this host on the platform's list and reads the list. During an outage the
 * listener keeps what it got last.
 */
public final class HostListFollower implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(HostListFollower.class);

	private static final int RENEWALS_PER_LEASE = 4;

	private static final int REPEAT_INTERVAL_COUNT = 10;

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

	private PlatformHost registered;

	private long registeredNanos;

	private List<PlatformHost> told;

	private long toldNanos;

	private volatile boolean closing;

	private volatile long failureCount;

	/**
	 * Creates a follower; {@link #start()} lets it run.
	 * @param platform where the list is
	 * @param self the entry of this host
	 * @param interval how often the list is read at least
	 * @param lease how long the entry of this host stands unless renewed
	 * @param random the source of jitter; used by the thread of the follower alone
	 * @param time the clock
	 * @param listener is called with each list that differs from the one before, and with
	 * an unchanged one from time to time
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
	 * Starts to follow.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Announces on the list at once that this host is about to stop.
	 */
	public void announceLeaving() {
		this.self = new PlatformHost(this.self.address(), this.self.role(), this.self.domain(),
				PlatformHost.State.LEAVING);
		this.wakeups.release();
	}

	/**
	 * Tells how many calls have failed since the start.
	 * @return the count
	 */
	public long failureCount() {
		return this.failureCount;
	}

	/**
	 * Takes this host off the list and stops to follow.
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
			attempt(this::renewIfDue);
			attempt(this::read);
			pause();
		}
		attempt(() -> this.platform.deregister(this.self.address()));
	}

	private void renewIfDue() {
		PlatformHost current = this.self;
		long nowNanos = this.time.nanoTime();
		if (!current.equals(this.registered)
				|| passed(this.registeredNanos, nowNanos, this.lease.dividedBy(RENEWALS_PER_LEASE))) {
			this.platform.register(current, this.lease);
			this.registered = current;
			this.registeredNanos = nowNanos;
		}
	}

	private void read() {
		List<PlatformHost> hosts = this.platform.hosts();
		long nowNanos = this.time.nanoTime();
		if (hosts != this.told || passed(this.toldNanos, nowNanos, this.interval.multipliedBy(REPEAT_INTERVAL_COUNT))) {
			this.listener.accept(hosts);
			this.told = hosts;
			this.toldNanos = nowNanos;
		}
	}

	private static boolean passed(long sinceNanos, long nowNanos, Duration time) {
		return nowNanos - sinceNanos >= time.toNanos();
	}

	private void attempt(Runnable call) {
		try {
			call.run();
		}
		catch (PlatformException ex) {
			this.failureCount++;
			LOG.debug("The platform's list of hosts can't be reached", ex);
		}
		catch (RuntimeException ex) {
			this.failureCount++;
			LOG.error("The listener of the list of hosts failed", ex);
		}
	}

	private void pause() {
		long millis = this.interval.toMillis();
		long spreadMillis = millis / 2 + this.random.nextLong(millis / 2 + 1);
		try {
			if (this.wakeups.tryAcquire(spreadMillis, TimeUnit.MILLISECONDS)) {
				this.wakeups.drainPermits();
			}
		}
		catch (InterruptedException ex) {
			this.closing = true;
		}
	}

}
