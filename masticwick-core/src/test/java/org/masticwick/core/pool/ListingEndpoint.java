package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticwick.core.process.HostAddress;

/**
 * An endpoint that lists what the tests tell it to. It keeps each end of a run until an
 * owner acknowledges it, also when its owner changes.
 */
final class ListingEndpoint {

	private static final int FIRST_PORT = 1_000;

	private final EndpointEntry entry;

	private final List<RunningTask> running = new ArrayList<>();

	private final List<TerminatedRun> terminated = new ArrayList<>();

	private long terminationCount;

	ListingEndpoint(String id, int number) {
		this.entry = new EndpointEntry(id, "service", new HostAddress("10.0.0.1", FIRST_PORT + number),
				LoggingOwner.POOL, true, new Resources(64_000, 1_000, 0), Set.of(), 0);
	}

	EndpointEntry entry() {
		return this.entry;
	}

	String id() {
		return this.entry.id();
	}

	void run(TaskRun run) {
		this.running.add(new RunningTask(run, 10));
	}

	/**
	 * Ends a run.
	 * @param run the run
	 * @param kind how it ends
	 * @return identifies the end
	 */
	TerminationId end(TaskRun run, TerminationKind kind) {
		this.running.removeIf((each) -> each.run().equals(run));
		this.terminationCount++;
		this.terminated.add(new TerminatedRun(this.terminationCount, run, kind));
		return new TerminationId(id(), 0, this.terminationCount);
	}

	/**
	 * Returns the ends that the endpoint keeps.
	 * @return the ends by what identifies them, in their order
	 */
	Map<TerminationId, TerminatedRun> ends() {
		Map<TerminationId, TerminatedRun> ends = new LinkedHashMap<>();
		this.terminated.forEach((end) -> ends.put(new TerminationId(id(), 0, end.number()), end));
		return ends;
	}

	TerminatedRun lastEnd() {
		return this.terminated.get(this.terminated.size() - 1);
	}

	void discardUpTo(long number) {
		this.terminated.removeIf((end) -> end.number() <= number);
	}

	EndpointReport report(long nowMillis) {
		return new EndpointReport(0, nowMillis, List.copyOf(this.running), List.copyOf(this.terminated));
	}

}
