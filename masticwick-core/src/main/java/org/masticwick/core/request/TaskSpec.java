package org.masticwick.core.request;

/**
 * The description of one task of a job. The declared values come from the caller and may
 * be far from the actual ones.
 *
 * @param kind the kind of task
 * @param payload the input of the task, passed to the endpoint unchanged
 * @param declaredRunTimeMillis the declared run time in milliseconds; 0 if not declared
 * @param declaredMemoryMegabytes the declared memory in megabytes; 0 if not declared
 * @param declaredAcceleratorCount the declared number of accelerators; 0 if not declared
 */
public record TaskSpec(String kind, String payload, long declaredRunTimeMillis, long declaredMemoryMegabytes,
		int declaredAcceleratorCount) {

}
