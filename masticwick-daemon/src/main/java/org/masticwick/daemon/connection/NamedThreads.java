package org.masticwick.daemon.connection;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates daemon threads whose names tell what they are for.
 */
public final class NamedThreads implements ThreadFactory {

	private final String prefix;

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Creates a factory.
	 * @param prefix what the names begin with
	 */
	public NamedThreads(String prefix) {
		this.prefix = prefix;
	}

	@Override
	public Thread newThread(Runnable task) {
		Thread thread = new Thread(task, this.prefix + "-" + this.count.incrementAndGet());
		thread.setDaemon(true);
		return thread;
	}

}
