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
 * Stands in for the workers of one failure domain, all in one process.
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
	 * Creates workers that don't listen yet.
	 * @param options how they are set up
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
	 * Opens the listeners and takes the leases.
	 * @return where the workers listen, in order
	 * @throws StandinException if an address can't be had
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
	 * Changes the faults of workers.
	 * @param request what to change on which workers
	 * @throws StandinException if there is no such worker
	 */
	void applyFaults(WorkerFaultRequest request) {
		int[] concerned = IntStream.range(0, this.workers.size()).filter(request::appliesTo).toArray();
		if (concerned.length == 0) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "No such worker: " + request.worker());
		}
		for (int index : concerned) {
			Worker worker = this.workers.get(index);
			worker.applyFaults(request);
			if (this.leaseRenewer != null) {
				this.leaseRenewer.renew(worker);
			}
		}
	}

	/**
	 * Writes the counts of starts and of refused duplicates by task id as JSON, without
	 * holding all of it in memory.
	 * @param filter which counts
	 * @param target where to write
	 * @throws StandinException if the target can't be written to
	 */
	void writeStarts(PerTaskCounter.Filter filter, OutputStream target) {
		Json.writeObject(target, Map.of("starts", (visitor) -> this.starts.forEach(filter, visitor), "duplicates",
				(visitor) -> this.duplicates.forEach(filter, visitor)));
	}

	/**
	 * Forgets the counts of starts and of refused duplicates.
	 */
	void clearStarts() {
		this.starts.clear();
		this.duplicates.clear();
	}

	/**
	 * Returns the counts of messages, summed and of each worker.
	 * @return the counts
	 */
	Counters counters() {
		List<WorkerCount> counts = this.workers.stream()
			.map((worker) -> new WorkerCount(worker.address().toString(), worker.counters()))
			.toList();
		Map<String, Long> total = new TreeMap<>();
		counts.forEach((count) -> count.counters().forEach((name, value) -> total.merge(name, value, Long::sum)));
		return new Counters(total, counts);
	}

	/**
	 * Describes the workers.
	 * @return one description each, in order
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
	 * Is what {@code GET /admin/counters} tells.
	 *
	 * @param total the sums over all workers
	 * @param workers the counts of each worker
	 */
	record Counters(Map<String, Long> total, List<WorkerCount> workers) {

	}

	/**
	 * Holds the counts of one worker.
	 *
	 * @param address where it listens
	 * @param counters the counts by name
	 */
	record WorkerCount(String address, Map<String, Long> counters) {

	}

	/**
	 * Is what {@code GET /admin/workers} tells.
	 *
	 * @param workers the workers
	 */
	record Workers(List<WorkerView> workers) {

	}

	/**
	 * Describes one worker.
	 *
	 * @param index its index in the process
	 * @param address where it listens
	 * @param domain its failure domain
	 * @param rack its rack
	 * @param service the service it runs
	 * @param slots how many tasks it runs at once
	 * @param running how many tasks run now
	 * @param connections how many connections it takes
	 * @param openConnections how many connections are open now
	 * @param state {@code live}, {@code leaving} or {@code stopped}
	 */
	record WorkerView(int index, String address, String domain, String rack, String service, int slots, int running,
			int connections, int openConnections, String state) {

	}

}
