package org.masticwick.daemon.connection;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates daemon threads that are named by a prefix and a number.
 */
public final class NamedThreads implements ThreadFactory {

	private final String prefix;

	private final AtomicInteger count = new AtomicInteger();

	/**
	 * Creates a factory.
	 * @param prefix the purpose of the threads; their names are the prefix, a hyphen and
	 * a number from 1
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
