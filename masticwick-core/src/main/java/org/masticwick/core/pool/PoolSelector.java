package org.masticwick.core.pool;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the pool that a job is sent to: the one of the own failure domain as long as
 * the job fits there, else the one with the most room, else the one with the least
 * waiting.
 */
public final class PoolSelector {

	/**
	 * How much less must wait elsewhere for a job to leave its domain, in milliseconds.
	 */
	private static final double MIN_GAIN_MILLIS = 10;

	/**
	 * Chooses.
	 * @param candidates the pools whose owners are heard
	 * @param neededMillicores what all tasks of the job take together
	 * @param tried the pools that refused the job
	 * @return the pool, or empty if there is none left
	 */
	public Optional<Candidate> select(List<Candidate> candidates, long neededMillicores, Set<String> tried) {
		List<Candidate> untried = candidates.stream().filter((each) -> !tried.contains(each.pool())).toList();
		if (untried.stream().anyMatch((each) -> !each.suspect())) {
			untried = untried.stream().filter((each) -> !each.suspect()).toList();
		}
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

	private static Optional<Candidate> smallestBacklog(List<Candidate> untried, Optional<Candidate> local) {
		Optional<Candidate> least = untried.stream().min(Comparator.comparingDouble(Candidate::backlogMillis));
		boolean staysLocal = local.isPresent() && least.isPresent()
				&& local.get().backlogMillis() - least.get().backlogMillis() < MIN_GAIN_MILLIS;
		return staysLocal ? local : least;
	}

	/**
	 * A pool as it looks from this host.
	 *
	 * @param pool the name
	 * @param local whether it is of the own failure domain
	 * @param suspect whether its owner has not been heard for a while
	 * @param freeMillicores what is free, less what was sent there since its last report
	 * @param backlogMillis how long all that waits takes there
	 */
	public record Candidate(String pool, boolean local, boolean suspect, long freeMillicores, double backlogMillis) {
	}

}
