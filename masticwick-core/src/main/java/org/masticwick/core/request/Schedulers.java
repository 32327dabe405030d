package org.masticwick.core.request;

import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.request.internal.DefaultScheduler;

/**
 * Creates schedulers.
 */
public final class Schedulers {

	private Schedulers() {
	}

	/**
	 * Creates the scheduler of an entry host. It has no version yet and refuses jobs
	 * until it gets one.
	 * @param settings the bounds
	 * @param ownDomain the failure domain of the entry host
	 * @param self the entry host
	 * @param random the source of randomness; used under the scheduler's own lock
	 * @return the scheduler
	 */
	public static Scheduler create(SchedulerSettings settings, String ownDomain, EntryHost self,
			RandomGenerator random) {
		return new DefaultScheduler(settings, ownDomain, self, random);
	}

}
