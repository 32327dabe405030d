package org.masticwick.proof.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Holds the resource usage of a process as reported by the kernel in {@code /proc}.
 *
 * @param cpuMillis the user and system processor time used so far, in milliseconds
 * @param residentKilobytes the resident set size in KiB
 */
record ProcessSample(long cpuMillis, long residentKilobytes) {

	private static final int USER_TIME_FIELD = 11;

	private static final long TICK_MILLIS = 10;

	/**
	 * Reads the current resource usage of a process.
	 * @param pid the process id
	 * @return the sample
	 * @throws UncheckedIOException if the process does not exist
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
