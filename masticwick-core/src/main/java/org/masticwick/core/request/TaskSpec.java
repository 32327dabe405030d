package org.masticwick.core.request;

/**
 * Describes one task of a job. Declared figures are the caller's and may be far off.
 *
 * @param kind the kind of task
 * @param payload what the endpoint gets
 * @param declaredRunTimeMillis the declared run time in milliseconds; 0 if not declared
 * @param declaredMemoryMegabytes the declared memory in megabytes; 0 if not declared
 * @param declaredAcceleratorCount the declared number of accelerators
 */
public record TaskSpec(String kind, String payload, long declaredRunTimeMillis, long declaredMemoryMegabytes,
		int declaredAcceleratorCount) {

}
