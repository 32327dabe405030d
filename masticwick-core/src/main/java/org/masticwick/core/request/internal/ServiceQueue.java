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
 * The queue of one service: urgent jobs first, then ordered by team, then by rank within
 * the team. After a number of consecutive urgent starts a regular job is started, so that
 * a stream of urgent jobs starves no regular one.
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
	 * @param jobOrder the order of jobs within a team
	 * @param teamOrder the order of teams
	 */
	ServiceQueue(JobOrder jobOrder, TeamOrder teamOrder) {
		this.jobOrder = jobOrder;
		this.teamOrder = teamOrder;
	}

	/**
	 * Adds a job.
	 * @param job the job, which has queued tasks
	 * @param slotCount the number of slots on which its tasks can run at once
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
	 * Removes a job.
	 * @param job the job, whose number of queued tasks must not have changed since it was
	 * added
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
	 * Defers a job of which only retries are left until the retry budget allows them. The
	 * job still counts as queued.
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
	 * Returns deferred jobs to their positions in the order.
	 * @param limitCount the maximum number of jobs
	 * @param slotCount the number of slots on which the tasks of a job can run at once
	 */
	void restoreDeferred(long limitCount, double slotCount) {
		this.deferred.stream().limit(limitCount).toList().forEach((job) -> {
			remove(job);
			add(job, slotCount);
		});
	}

	/**
	 * Returns the first job in the order.
	 * @return the job; empty if no job is queued or all are deferred
	 */
	Optional<JobEntry> head() {
		boolean regularDue = this.consecutiveUrgentStartCount >= MAX_CONSECUTIVE_URGENT_STARTS
				&& !this.regular.isEmpty();
		NavigableSet<TeamQueue> preferred = (regularDue || this.urgent.isEmpty()) ? this.regular : this.urgent;
		return preferred.isEmpty() ? Optional.empty() : Optional.of(preferred.first().jobs().first());
	}

	/**
	 * Returns the first jobs of each team, as alternatives if the first job in the order
	 * can't start.
	 * @param limitCount the maximum number of jobs to return
	 * @return the jobs, in order
	 */
	List<JobEntry> candidates(int limitCount) {
		return Stream.concat(this.urgent.stream(), this.regular.stream())
			.flatMap((queue) -> queue.jobs().stream().limit(CANDIDATES_PER_TEAM_COUNT))
			.limit(limitCount)
			.toList();
	}

	/**
	 * Records the start of a task.
	 * @param urgentJob whether the job is urgent
	 */
	void recordStart(boolean urgentJob) {
		this.consecutiveUrgentStartCount = urgentJob ? (this.consecutiveUrgentStartCount + 1) : 0;
	}

	/**
	 * Reorders the queue by new policies.
	 * @param newJobOrder the order of jobs within a team
	 * @param newTeamOrder the order of teams
	 * @param slotCount the number of slots on which the tasks of a job can run at once
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
	 * Returns whether jobs that are not urgent are queued and not deferred.
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
