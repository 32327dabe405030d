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
 * Collects cancellations for a short time, so that a wave of them costs an endpoint one
 * message for each part of the wave. The first part is sent soon, the others are longer.
 */
final class CancelBatch {

	private static final long COLLECT_MILLIS = 5;

	private static final long WAVE_COLLECT_MILLIS = 50;

	private static final long WAVE_END_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAX_TASK_COUNT = 4096;

	private final EndpointClient client;

	private final ScheduledExecutorService timer;

	private final Metrics metrics;

	private final Map<HostAddress, Queue<TaskId>> waiting = new ConcurrentHashMap<>();

	private final AtomicBoolean planned = new AtomicBoolean();

	private volatile long lastFlushNanos = System.nanoTime() - WAVE_END_NANOS;

	CancelBatch(EndpointClient client, ScheduledExecutorService timer, Metrics metrics) {
		this.client = client;
		this.timer = timer;
		this.metrics = metrics;
	}

	/**
	 * Cancels a task with the next message to its endpoint.
	 * @param endpoint the endpoint
	 * @param task the task
	 */
	void add(HostAddress endpoint, TaskId task) {
		this.waiting.computeIfAbsent(endpoint, (key) -> new ConcurrentLinkedQueue<>()).add(task);
		if (this.planned.compareAndSet(false, true)) {
			this.timer.schedule(this::flush, collectMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private long collectMillis() {
		boolean inWave = System.nanoTime() - this.lastFlushNanos < WAVE_END_NANOS;
		return inWave ? WAVE_COLLECT_MILLIS : COLLECT_MILLIS;
	}

	/**
	 * Sends what has been collected.
	 */
	void flush() {
		this.lastFlushNanos = System.nanoTime();
		this.planned.set(false);
		this.waiting.forEach((endpoint, queue) -> send(endpoint,
				Stream.generate(queue::poll).takeWhile((task) -> task != null).toList()));
	}

	private void send(HostAddress endpoint, List<TaskId> tasks) {
		IntStream.iterate(0, (from) -> from < tasks.size(), (from) -> from + MAX_TASK_COUNT).forEach((from) -> {
			this.metrics.countMessage(MessageKind.CANCEL);
			this.client.cancel(endpoint, tasks.subList(from, Math.min(from + MAX_TASK_COUNT, tasks.size())));
		});
	}

}
