package org.masticwick.proof.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the size of the measured site and how long it is measured.
 *
 * @param domainCount how many failure domains there are
 * @param hostCount how many entry hosts a failure domain has
 * @param endpointCount how many endpoints stand in the notes and on the list of hosts
 * @param teamCount how many teams have a share
 * @param noteCount how many notes are published one after another
 * @param burstCount how many notes are published at once after those
 * @param noteBytes how long a note is at least, in bytes
 * @param warmupSeconds how long the site idles before the first sample, in seconds
 * @param sampleSeconds how long a sample lasts, in seconds
 * @param sampleCount how many samples are taken
 * @param workerCount how many stand-in workers a failure domain runs
 */
record CapacityOptions(int domainCount, int hostCount, int endpointCount, int teamCount, int noteCount, int burstCount,
		int noteBytes, int warmupSeconds, int sampleSeconds, int sampleCount, int workerCount) {

	/**
	 * Reads options of the form {@code name=value}.
	 * @param arguments the command line
	 * @return the options
	 */
	static CapacityOptions parse(String... arguments) {
		Map<String, Integer> values = new TreeMap<>();
		for (String argument : arguments) {
			String[] parts = argument.split("=", 2);
			values.put(parts[0], Integer.valueOf(parts[1]));
		}
		return new CapacityOptions(values.getOrDefault("domains", 3), values.getOrDefault("hosts", 1),
				values.getOrDefault("endpoints", 30), values.getOrDefault("teams", 10), values.getOrDefault("notes", 0),
				values.getOrDefault("burst", 0), values.getOrDefault("note-bytes", 0),
				values.getOrDefault("warmup-s", 20), values.getOrDefault("sample-s", 30),
				values.getOrDefault("samples", 1), values.getOrDefault("workers", 1));
	}

}
