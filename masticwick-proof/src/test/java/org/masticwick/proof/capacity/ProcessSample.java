package org.masticwick.proof.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Holds what the kernel tells of a process.
 *
 * @param cpuMillis the processor time it has used, in milliseconds
 * @param residentKilobytes its resident memory, in KiB
 */
record ProcessSample(long cpuMillis, long residentKilobytes) {

	private static final int USER_TIME_FIELD = 11;

	private static final long TICK_MILLIS = 10;

	/**
	 * Reads the counts of a process.
	 * @param pid the id of the process
	 * @return the sample
	 */
	static ProcessSample of(long pid) {
		try {
			String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
			String resident = Files.readAllLines(Path.of("/proc/" + pid + "/status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS:"))
				.findFirst()
				.orElseThrow();
			return new ProcessSample(ticks * TICK_MILLIS, Long.parseLong(resident.replaceAll("\\D", "")));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
