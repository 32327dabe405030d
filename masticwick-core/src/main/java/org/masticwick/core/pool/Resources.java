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
	 * Returns the sum of this amount and another. A sum beyond the range of its type
	 * becomes the largest or smallest value of the type.
	 * @param other the other amount
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(add(this.cpuMillicores, other.cpuMillicores),
				add(this.memoryMegabytes, other.memoryMegabytes), toInt((long) this.gpuCount + other.gpuCount));
	}

	/**
	 * Returns this amount less another. A difference beyond the range of its type becomes
	 * the largest or smallest value of the type.
	 * @param other the other amount
	 * @return the difference, which may be negative
	 */
	public Resources minus(Resources other) {
		return new Resources(subtract(this.cpuMillicores, other.cpuMillicores),
				subtract(this.memoryMegabytes, other.memoryMegabytes), toInt((long) this.gpuCount - other.gpuCount));
	}

	// A sum overflows if both summands have the sign that the sum has not.
	private static long add(long first, long second) {
		long sum = first + second;
		boolean overflows = ((first ^ sum) & (second ^ sum)) < 0;
		return overflows ? limitWithSignOf(first) : sum;
	}

	// A difference overflows if the operands differ in sign, and it has not that of the
	// first one.
	private static long subtract(long first, long second) {
		long difference = first - second;
		boolean overflows = ((first ^ second) & (first ^ difference)) < 0;
		return overflows ? limitWithSignOf(first) : difference;
	}

	private static long limitWithSignOf(long value) {
		return (value < 0) ? Long.MIN_VALUE : Long.MAX_VALUE;
	}

	private static int toInt(long value) {
		return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
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
