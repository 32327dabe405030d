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

	private static final int URGENT_RUN_COUNT = 16;

	private static final int JOBS_PER_TEAM_COUNT = 2;

	private final NavigableSet<TeamQueue> urgent = new TreeSet<>(TeamQueue.BY_RANK);

	private final NavigableSet<TeamQueue> usual = new TreeSet<>(TeamQueue.BY_RANK);

	private final Map<String, TeamQueue> urgentByTeam = new HashMap<>();

	private final Map<String, TeamQueue> usualByTeam = new HashMap<>();

	private final Set<JobEntry> parked = new LinkedHashSet<>();

	private int jobCount;

	private int queuedCount;

	private int urgentQueuedCount;

	private int urgentRunCount;

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
		TeamQueue queue = queue(job.request().urgent(), job.account());
		job.queue(queue);
		queue.add(job);
		this.jobCount++;
		count(queue, job.queuedCount());
	}

	/**
	 * Takes a job out.
	 * @param job the job, with its waiting tasks still in it
	 */
	void remove(JobEntry job) {
		TeamQueue queue = job.queue();
		job.queue(null);
		this.jobCount--;
		count(queue, -job.queuedCount());
		if (this.parked.remove(job)) {
			return;
		}
		queue.remove(job);
		if (queue.isEmpty()) {
			byTeam(queue.urgent()).remove(queue.account().name());
			queue.account().remove(queue);
		}
	}

	/**
	 * Sets a job aside that can't start before retries are allowed again. It still counts
	 * as waiting.
	 * @param job the job, which is in this queue
	 */
	void park(JobEntry job) {
		TeamQueue queue = job.queue();
		remove(job);
		job.queue(queue);
		this.parked.add(job);
		this.jobCount++;
		count(queue, job.queuedCount());
	}

	/**
	 * Puts jobs that were set aside back in their places.
	 * @param limitCount how many at most
	 * @param slotCount on how many slots the tasks of a job may run at once
	 */
	void unpark(long limitCount, double slotCount) {
		this.parked.stream().limit(limitCount).toList().forEach((job) -> {
			remove(job);
			add(job, slotCount);
		});
	}

	/**
	 * Returns the job whose task starts next.
	 * @return the job; empty if none waits
	 */
	Optional<JobEntry> head() {
		boolean yields = this.urgentRunCount >= URGENT_RUN_COUNT && !this.usual.isEmpty();
		NavigableSet<TeamQueue> first = (yields || this.urgent.isEmpty()) ? this.usual : this.urgent;
		return first.isEmpty() ? Optional.empty() : Optional.of(first.first().jobs().first());
	}

	/**
	 * Returns jobs to look at when the head can't start.
	 * @param limitCount how many to return at most
	 * @return the jobs in their order
	 */
	List<JobEntry> heads(int limitCount) {
		return Stream.concat(this.urgent.stream(), this.usual.stream())
			.flatMap((queue) -> queue.jobs().stream().limit(JOBS_PER_TEAM_COUNT))
			.limit(limitCount)
			.toList();
	}

	/**
	 * Takes in that a task of a job in the queue starts.
	 * @param urgentJob whether the job is urgent
	 */
	void started(boolean urgentJob) {
		this.urgentRunCount = urgentJob ? (this.urgentRunCount + 1) : 0;
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
		Stream.concat(this.urgentByTeam.values().stream(), this.usualByTeam.values().stream()).forEach((queue) -> {
			List<JobEntry> jobs = new ArrayList<>(queue.jobs());
			queue.jobs().clear();
			jobs.forEach((job) -> job.rank(newJobOrder.rank(job, slotCount)));
			queue.jobs().addAll(jobs);
			queue.order(newTeamOrder);
		});
	}

	List<JobEntry> jobs() {
		Stream<JobEntry> ordered = Stream.concat(this.urgent.stream(), this.usual.stream())
			.flatMap((queue) -> queue.jobs().stream());
		return Stream.concat(ordered, this.parked.stream()).toList();
	}

	boolean isEmpty() {
		return this.queuedCount == 0;
	}

	/**
	 * Returns whether jobs wait that are not urgent.
	 * @return {@code true} if so
	 */
	boolean usualWaits() {
		return !this.usual.isEmpty();
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

	private TeamQueue queue(boolean urgentJob, TeamAccount account) {
		return byTeam(urgentJob).computeIfAbsent(account.name(), (name) -> {
			NavigableSet<TeamQueue> siblings = urgentJob ? this.urgent : this.usual;
			TeamQueue queue = new TeamQueue(account, siblings, urgentJob, this.teamOrder);
			account.add(queue);
			return queue;
		});
	}

	private Map<String, TeamQueue> byTeam(boolean urgentJob) {
		return urgentJob ? this.urgentByTeam : this.usualByTeam;
	}

	private void count(TeamQueue queue, int count) {
		this.queuedCount += count;
		this.urgentQueuedCount += queue.urgent() ? count : 0;
		queue.account().addQueued(count);
	}

}
