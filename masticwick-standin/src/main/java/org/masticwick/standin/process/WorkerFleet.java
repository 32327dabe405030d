package org.masticwick.standin.process;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.Json;
import org.masticwick.standin.connection.StandinException;
import org.masticwick.standin.request.PerTaskCounter;

/**
 * Simulates the workers of one failure domain, all in one process.
 */
public final class WorkerFleet implements AutoCloseable {

	private static final int THREAD_COUNT = 2;

	private final EventLoopGroup group = new NioEventLoopGroup(THREAD_COUNT);

	private final WorkerOptions options;

	private final PerTaskCounter starts = new PerTaskCounter();

	private final PerTaskCounter duplicates = new PerTaskCounter();

	private final List<Worker> workers;

	private final LeaseRenewer leaseRenewer;

	/**
	 * Creates the workers without opening their listeners.
	 * @param options the number of workers and their settings
	 * @param time the clock
	 */
	public WorkerFleet(WorkerOptions options, TimeSource time) {
		this.options = options;
		this.workers = IntStream.range(0, options.workerCount())
			.mapToObj((index) -> new Worker(options, this.group, time, this.starts, this.duplicates))
			.toList();
		this.leaseRenewer = (options.platform() != null) ? new LeaseRenewer(options.platform(), options.domain())
				: null;
	}

	/**
	 * Opens the listeners. If the options name a platform, also puts the workers on its
	 * host list and starts to renew their leases.
	 * @return the addresses of the workers in the order of their indexes
	 * @throws StandinException if the thread is interrupted while a listener is opened
	 */
	public List<HostAddress> open() {
		this.workers.forEach(Worker::open);
		if (this.leaseRenewer != null) {
			this.leaseRenewer.scheduleRenewals(this.workers, this.group);
		}
		return this.workers.stream().map(Worker::address).toList();
	}

	@Override
	public void close() {
		this.workers.forEach(Worker::close);
		if (this.leaseRenewer != null) {
			this.leaseRenewer.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	/**
	 * Applies faults to one or all workers and at once reports a changed state to the
	 * platform.
	 * @param request the faults and the worker or workers they are for
	 * @throws StandinException if no worker has the index of the request
	 */
	void applyFaults(WorkerFaultRequest request) {
		int[] workerIndexes = IntStream.range(0, this.workers.size()).filter(request::appliesTo).toArray();
		if (workerIndexes.length == 0) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "No such worker: " + request.worker());
		}
		for (int index : workerIndexes) {
			Worker worker = this.workers.get(index);
			worker.applyFaults(request);
			if (this.leaseRenewer != null) {
				this.leaseRenewer.renew(worker);
			}
		}
	}

	/**
	 * Writes the numbers of starts and of refused duplicates by task id as JSON. It is
	 * streamed: after a long run it is too large to build in memory.
	 * @param filter the tasks to write
	 * @param target the stream to write to, left open
	 * @throws StandinException if writing to the stream fails
	 */
	void writeStarts(PerTaskCounter.Filter filter, OutputStream target) {
		Json.writeObject(target, Map.of("starts", (visitor) -> this.starts.forEach(filter, visitor), "duplicates",
				(visitor) -> this.duplicates.forEach(filter, visitor)));
	}

	/**
	 * Resets the counts of starts and of refused duplicates.
	 */
	void clearStarts() {
		this.starts.clear();
		this.duplicates.clear();
	}

	/**
	 * Returns the counters of each worker and their sums over all workers.
	 * @return the body of {@code GET /admin/counters}
	 */
	Counters counters() {
		List<WorkerCount> countsByWorker = this.workers.stream()
			.map((worker) -> new WorkerCount(worker.address().toString(), worker.counters()))
			.toList();
		Map<String, Long> total = new TreeMap<>();
		countsByWorker
			.forEach((count) -> count.counters().forEach((name, value) -> total.merge(name, value, Long::sum)));
		return new Counters(total, countsByWorker);
	}

	/**
	 * Returns the settings and the present state of each worker.
	 * @return the body of {@code GET /admin/workers}, in the order of the indexes
	 */
	Workers describe() {
		return new Workers(IntStream.range(0, this.workers.size()).mapToObj(this::describe).toList());
	}

	private WorkerView describe(int index) {
		Worker worker = this.workers.get(index);
		return new WorkerView(index, worker.address().toString(), this.options.domain(), this.options.rack(index),
				this.options.service(), this.options.slotCount(), worker.runningCount(),
				this.options.maxConnectionCount(), worker.openConnectionCount(), worker.state());
	}

	/**
	 * Body of {@code GET /admin/counters}.
	 *
	 * @param total the sums over all workers by counter name
	 * @param workers the counters of each worker
	 */
	record Counters(Map<String, Long> total, List<WorkerCount> workers) {

	}

	/**
	 * Counters of one worker.
	 *
	 * @param address the address that the worker listens on
	 * @param counters the values by counter name
	 */
	record WorkerCount(String address, Map<String, Long> counters) {

	}

	/**
	 * Body of {@code GET /admin/workers}.
	 *
	 * @param workers the workers in the order of their indexes
	 */
	record Workers(List<WorkerView> workers) {

	}

	/**
	 * Settings and present state of one worker.
	 *
	 * @param index the index of the worker in this process, from 0
	 * @param address the address that the worker listens on
	 * @param domain the failure domain
	 * @param rack the rack
	 * @param service the service whose tasks the worker runs
	 * @param slots the number of tasks that can run at once
	 * @param running the number of running tasks
	 * @param connections the number of connections that can be open at once
	 * @param openConnections the number of open connections
	 * @param state {@code live}, {@code leaving} or {@code stopped}
	 */
	record WorkerView(int index, String address, String domain, String rack, String service, int slots, int running,
			int connections, int openConnections, String state) {

	}

}
