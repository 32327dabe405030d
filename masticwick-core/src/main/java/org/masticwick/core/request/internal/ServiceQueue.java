package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Holds the waiting jobs of one service: urgent ones first, then by team, then by rank
 * within the team. A job that waits gets a turn now and then even while urgent ones keep
 * coming.
 */
final class ServiceQueue {

	private static final int MAX_CONSECUTIVE_URGENT_STARTS = 16;

	private static final int CANDIDATES_PER_TEAM_COUNT = 2;

	private final NavigableSet<TeamQueue> urgent = new TreeSet<>(TeamQueue.BY_RANK);

	private final NavigableSet<TeamQueue> regular = new TreeSet<>(TeamQueue.BY_RANK);

	private final Map<String, TeamQueue> urgentByTeam = new HashMap<>();

	private final Map<String, TeamQueue> regularByTeam = new HashMap<>();

	private final Set<JobEntry> deferred = new LinkedHashSet<>();

	private int jobCount;

	private int queuedCount;

	private int urgentQueuedCount;

	private int consecutiveUrgentStartCount;

	private JobOrder jobOrder;

	private TeamOrder teamOrder;

	/**
	 * Creates an empty queue.
	 * @param jobOrder the order of jobs
	 * @param teamOrder the order of teams
	 */
	ServiceQueue(JobOrder jobOrder, TeamOrder teamOrder) {
		this.jobOrder = jobOrder;
		this.teamOrder = teamOrder;
	}

	/**
	 * Puts a job in.
	 * @param job the job, which has waiting tasks
	 * @param slotCount on how many slots its tasks may run at once
	 */
	void add(JobEntry job, double slotCount) {
		job.rank(this.jobOrder.rank(job, slotCount));
		TeamQueue queue = teamQueue(job.request().urgent(), job.account());
		job.queue(queue);
		queue.add(job);
		this.jobCount++;
		addCounts(queue, job.queuedCount());
	}

	/**
	 * Takes a job out.
	 * @param job the job, with its waiting tasks still in it
	 */
	void remove(JobEntry job) {
		TeamQueue queue = job.queue();
		job.queue(null);
		this.jobCount--;
		addCounts(queue, -job.queuedCount());
		if (this.deferred.remove(job)) {
			return;
		}
		queue.remove(job);
		if (queue.isEmpty()) {
			byTeam(queue.urgent()).remove(queue.account().name());
			queue.account().removeQueue(queue);
		}
	}

	/**
	 * Sets a job aside that can't start before retries are allowed again. It still counts
	 * as waiting.
	 * @param job the job, which is in this queue
	 */
	void defer(JobEntry job) {
		TeamQueue queue = job.queue();
		remove(job);
		job.queue(queue);
		this.deferred.add(job);
		this.jobCount++;
		addCounts(queue, job.queuedCount());
	}

	/**
	 * Puts jobs that were set aside back in their places.
	 * @param limitCount how many at most
	 * @param slotCount on how many slots the tasks of a job may run at once
	 */
	void restoreDeferred(long limitCount, double slotCount) {
		this.deferred.stream().limit(limitCount).toList().forEach((job) -> {
			remove(job);
			add(job, slotCount);
		});
	}

	/**
	 * Returns the job whose task starts next.
	 * @return the job; empty if none waits
	 */
	Optional<JobEntry> head() {
		boolean regularDue = this.consecutiveUrgentStartCount >= MAX_CONSECUTIVE_URGENT_STARTS
				&& !this.regular.isEmpty();
		NavigableSet<TeamQueue> preferred = (regularDue || this.urgent.isEmpty()) ? this.regular : this.urgent;
		return preferred.isEmpty() ? Optional.empty() : Optional.of(preferred.first().jobs().first());
	}

	/**
	 * Returns jobs to look at when the head can't start.
	 * @param limitCount how many to return at most
	 * @return the jobs in their order
	 */
	List<JobEntry> candidates(int limitCount) {
		return Stream.concat(this.urgent.stream(), this.regular.stream())
			.flatMap((queue) -> queue.jobs().stream().limit(CANDIDATES_PER_TEAM_COUNT))
			.limit(limitCount)
			.toList();
	}

	/**
	 * Takes in that a task of a job in the queue starts.
	 * @param urgentJob whether the job is urgent
	 */
	void recordStart(boolean urgentJob) {
		this.consecutiveUrgentStartCount = urgentJob ? (this.consecutiveUrgentStartCount + 1) : 0;
	}

	/**
	 * Takes over other orders.
	 * @param newJobOrder the order of jobs
	 * @param newTeamOrder the order of teams
	 * @param slotCount on how many slots the tasks of a job may run at once
	 */
	void reorder(JobOrder newJobOrder, TeamOrder newTeamOrder, double slotCount) {
		this.jobOrder = newJobOrder;
		this.teamOrder = newTeamOrder;
		Stream.concat(this.urgentByTeam.values().stream(), this.regularByTeam.values().stream()).forEach((queue) -> {
			List<JobEntry> jobs = new ArrayList<>(queue.jobs());
			queue.jobs().clear();
			jobs.forEach((job) -> job.rank(newJobOrder.rank(job, slotCount)));
			queue.jobs().addAll(jobs);
			queue.order(newTeamOrder);
		});
	}

	List<JobEntry> jobs() {
		Stream<JobEntry> ordered = Stream.concat(this.urgent.stream(), this.regular.stream())
			.flatMap((queue) -> queue.jobs().stream());
		return Stream.concat(ordered, this.deferred.stream()).toList();
	}

	boolean isEmpty() {
		return this.queuedCount == 0;
	}

	/**
	 * Returns whether jobs wait that are not urgent.
	 * @return {@code true} if so
	 */
	boolean hasRegularJobs() {
		return !this.regular.isEmpty();
	}

	int jobCount() {
		return this.jobCount;
	}

	int queuedCount() {
		return this.queuedCount;
	}

	int urgentQueuedCount() {
		return this.urgentQueuedCount;
	}

	private TeamQueue teamQueue(boolean urgentJob, TeamAccount account) {
		return byTeam(urgentJob).computeIfAbsent(account.name(), (name) -> {
			NavigableSet<TeamQueue> queuesByRank = urgentJob ? this.urgent : this.regular;
			TeamQueue queue = new TeamQueue(account, queuesByRank, urgentJob, this.teamOrder);
			account.addQueue(queue);
			return queue;
		});
	}

	private Map<String, TeamQueue> byTeam(boolean urgentJob) {
		return urgentJob ? this.urgentByTeam : this.regularByTeam;
	}

	private void addCounts(TeamQueue queue, int count) {
		this.queuedCount += count;
		this.urgentQueuedCount += queue.urgent() ? count : 0;
		queue.account().addQueued(count);
	}

}
