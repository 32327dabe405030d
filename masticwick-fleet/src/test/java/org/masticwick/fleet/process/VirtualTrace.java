package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What happened in a simulation, for the report on a job.
 */
final class VirtualTrace {

	private final VirtualTime time;

	private final List<Entry> entries = new ArrayList<>();

	VirtualTrace(VirtualTime time) {
		this.time = time;
	}

	void job(String jobId, String place, String what) {
		this.entries.add(new Entry(this.time.elapsedMillis(), jobId, place, what));
	}

	void fault(String place, String what) {
		this.entries.add(new Entry(this.time.elapsedMillis(), "", place, what));
	}

	/**
	 * Returns what concerns a job, and the faults before its last entry.
	 * @param jobId the id of the job
	 * @return one line for each entry
	 */
	String of(String jobId) {
		long lastMillis = this.entries.stream()
			.filter((entry) -> entry.jobId().equals(jobId))
			.mapToLong(Entry::millis)
			.max()
			.orElse(0);
		return this.entries.stream()
			.filter((entry) -> entry.jobId().equals(jobId) || entry.jobId().isEmpty() && entry.millis() <= lastMillis)
			.map((entry) -> String.format("%7d ms  %-4s %s", entry.millis(), entry.place(), entry.what()))
			.collect(Collectors.joining("\n"));
	}

	private record Entry(long millis, String jobId, String place, String what) {
	}

}
