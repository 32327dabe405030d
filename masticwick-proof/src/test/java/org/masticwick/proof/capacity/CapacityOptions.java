package org.masticwick.proof.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the size of the measured site and the duration of the measurement.
 *
 * @param domainCount the number of failure domains
 * @param hostCount the number of entry hosts in each failure domain
 * @param endpointCount the number of endpoints in the release note and in the host list
 * @param teamCount the number of teams that have a share
 * @param noteCount the number of release notes that are published sequentially
 * @param burstCount the number of release notes that are then published concurrently
 * @param noteBytes the minimum length of each of these release notes, in bytes
 * @param warmupSeconds the idle time before the first sample, in seconds
 * @param sampleSeconds the duration of a sample, in seconds
 * @param sampleCount the number of samples
 * @param workerCount the number of worker stand-ins in each failure domain
 */
record CapacityOptions(int domainCount, int hostCount, int endpointCount, int teamCount, int noteCount, int burstCount,
		int noteBytes, int warmupSeconds, int sampleSeconds, int sampleCount, int workerCount) {

	/**
	 * Parses arguments of the form {@code name=value}.
	 * @param arguments the command line arguments
	 * @return the options; missing ones have default values
	 * @throws NumberFormatException if a value is not an integer
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
