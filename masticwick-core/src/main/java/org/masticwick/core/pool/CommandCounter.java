package org.masticwick.core.pool;

/**
 * Numbers the commands of an owner, so that the endpoint refuses an earlier command once
 * it has received one with a higher number. The numbers only rise, also for an endpoint
 * that is forgotten and listed again.
 */
final class CommandCounter {

	private long count;

	long current() {
		return this.count;
	}

	long next() {
		this.count++;
		return this.count;
	}

}
