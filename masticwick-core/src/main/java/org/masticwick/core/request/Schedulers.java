package org.masticwick.core.request;

import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.request.internal.DefaultScheduler;

/**
 * Factory for {@link Scheduler schedulers}.
 */
public final class Schedulers {

	private Schedulers() {
	}

	/**
	 * Creates the scheduler of an entry host. It rejects all jobs until it receives a
	 * first version of the site.
	 * @param settings the limits
	 * @param ownDomain the failure domain of the entry host
	 * @param self the entry host
	 * @param random the source of randomness; used only under the scheduler's own lock
	 * @return the scheduler
	 */
	public static Scheduler create(SchedulerSettings settings, String ownDomain, EntryHost self,
			RandomGenerator random) {
		return new DefaultScheduler(settings, ownDomain, self, random);
	}

}
