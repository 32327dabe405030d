package org.masticwick.core.pool;

/**
 * The amounts of resources that a task needs or an endpoint has.
 *
 * @param cpuMillicores the processor share in thousandths of a core
 * @param memoryMegabytes the memory in megabytes
 * @param gpuCount the number of accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, int gpuCount) {

	/** No resources. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Returns whether an amount fits into this one.
	 * @param need the amount
	 * @return whether it fits
	 */
	public boolean fits(Resources need) {
		return need.cpuMillicores <= this.cpuMillicores && need.memoryMegabytes <= this.memoryMegabytes
				&& need.gpuCount <= this.gpuCount;
	}

	/**
	 * Returns the sum of this amount and another.
	 * @param other the other amount
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillicores + other.cpuMillicores, this.memoryMegabytes + other.memoryMegabytes,
				this.gpuCount + other.gpuCount);
	}

	/**
	 * Returns this amount less another.
	 * @param other the other amount
	 * @return the difference, which may be negative
	 */
	public Resources minus(Resources other) {
		return new Resources(this.cpuMillicores - other.cpuMillicores, this.memoryMegabytes - other.memoryMegabytes,
				this.gpuCount - other.gpuCount);
	}

	/**
	 * Returns the larger amount of each resource.
	 * @param other the amounts to compare with
	 * @return the larger amounts
	 */
	Resources max(Resources other) {
		return new Resources(Math.max(this.cpuMillicores, other.cpuMillicores),
				Math.max(this.memoryMegabytes, other.memoryMegabytes), Math.max(this.gpuCount, other.gpuCount));
	}

}
