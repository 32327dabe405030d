package org.masticwick.core.pool;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Selects the pool that a job is sent to: the local one, of the host's own failure
 * domain, if the job fits there; otherwise the one with the most free capacity; if the
 * job fits nowhere, the one with the smallest backlog.
 */
public final class PoolSelector {

	/**
	 * The minimum reduction of the backlog for which a job leaves its failure domain, in
	 * milliseconds.
	 */
	private static final double MIN_GAIN_MILLIS = 10;

	/**
	 * Selects a pool for a job. A pool that can run nothing is only selected if no pool
	 * can run anything.
	 * @param candidates the pools with a reachable owner
	 * @param neededMillicores the demand of all tasks of the job, in thousandths of a
	 * core
	 * @param tried the names of the pools that were already tried
	 * @return the pool, or empty if no pool is left
	 */
	public Optional<Candidate> select(List<Candidate> candidates, long neededMillicores, Set<String> tried) {
		List<Candidate> untried = candidates.stream().filter((each) -> !tried.contains(each.pool())).toList();
		untried = preferred(untried, Candidate::usable);
		untried = preferred(untried, (each) -> !each.ownerSuspect());
		Optional<Candidate> local = untried.stream().filter(Candidate::local).findFirst();
		if (local.isPresent() && local.get().freeMillicores() >= neededMillicores) {
			return local;
		}
		Optional<Candidate> mostFree = untried.stream().max(Comparator.comparingLong(Candidate::freeMillicores));
		if (mostFree.isPresent() && mostFree.get().freeMillicores() >= neededMillicores) {
			return mostFree;
		}
		return smallestBacklog(untried, local);
	}

	private static List<Candidate> preferred(List<Candidate> candidates, Predicate<Candidate> preference) {
		List<Candidate> preferred = candidates.stream().filter(preference).toList();
		return preferred.isEmpty() ? candidates : preferred;
	}

	private static Optional<Candidate> smallestBacklog(List<Candidate> untried, Optional<Candidate> local) {
		Optional<Candidate> least = untried.stream().min(Comparator.comparingDouble(Candidate::backlogMillis));
		boolean staysLocal = local.isPresent() && least.isPresent()
				&& local.get().backlogMillis() - least.get().backlogMillis() < MIN_GAIN_MILLIS;
		return staysLocal ? local : least;
	}

	/**
	 * A pool as seen by this host.
	 *
	 * @param pool the name of the pool
	 * @param local whether it is the pool of the host's own failure domain
	 * @param ownerSuspect whether there was no recent contact with its owner
	 * @param freeMillicores the free capacity, less the demand of jobs sent there since
	 * its last report, in thousandths of a core
	 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
	 * @param usable whether its owner may run tasks; {@code false} if it reported no
	 * capacity, or owns pools of drained failure domains only
	 */
	public record Candidate(String pool, boolean local, boolean ownerSuspect, long freeMillicores, double backlogMillis,
			boolean usable) {
	}

}
