package org.masticwick.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;

/**
 * Collects cancellations for a short time and sends each endpoint one message for all of
 * its tasks. The first batch of a burst is sent after a short delay; later batches of the
 * burst are collected for longer, which saves messages. A burst lasts while each
 * cancellation follows the previous flush within {@link #BURST_GAP_NANOS}.
 */
final class CancelBatch {

	private static final long BATCH_DELAY_MILLIS = 5;

	private static final long BURST_BATCH_DELAY_MILLIS = 50;

	private static final long BURST_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAX_TASKS_PER_MESSAGE = 4096;

	private final EndpointClient client;

	private final ScheduledExecutorService timer;

	private final Metrics metrics;

	private final Map<HostAddress, Queue<TaskId>> queuesByEndpoint = new ConcurrentHashMap<>();

	private final AtomicBoolean flushScheduled = new AtomicBoolean();

	private volatile long lastFlushNanos = System.nanoTime() - BURST_GAP_NANOS;

	CancelBatch(EndpointClient client, ScheduledExecutorService timer, Metrics metrics) {
		this.client = client;
		this.timer = timer;
		this.metrics = metrics;
	}

	/**
	 * Adds a task to the next cancel message to its endpoint.
	 * @param endpoint the endpoint
	 * @param task the task
	 */
	void add(HostAddress endpoint, TaskId task) {
		this.queuesByEndpoint.computeIfAbsent(endpoint, (key) -> new ConcurrentLinkedQueue<>()).add(task);
		if (this.flushScheduled.compareAndSet(false, true)) {
			this.timer.schedule(this::flush, batchDelayMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private long batchDelayMillis() {
		boolean inBurst = System.nanoTime() - this.lastFlushNanos < BURST_GAP_NANOS;
		return inBurst ? BURST_BATCH_DELAY_MILLIS : BATCH_DELAY_MILLIS;
	}

	/**
	 * Sends all collected cancellations now.
	 */
	void flush() {
		this.lastFlushNanos = System.nanoTime();
		this.flushScheduled.set(false);
		this.queuesByEndpoint.forEach((endpoint, queue) -> send(endpoint,
				Stream.generate(queue::poll).takeWhile((task) -> task != null).toList()));
	}

	private void send(HostAddress endpoint, List<TaskId> tasks) {
		IntStream
			.iterate(0, (firstIndex) -> firstIndex < tasks.size(), (firstIndex) -> firstIndex + MAX_TASKS_PER_MESSAGE)
			.forEach((firstIndex) -> {
				this.metrics.countMessage(MessageKind.CANCEL);
				this.client.cancel(endpoint,
						tasks.subList(firstIndex, Math.min(firstIndex + MAX_TASKS_PER_MESSAGE, tasks.size())));
			});
	}

}
