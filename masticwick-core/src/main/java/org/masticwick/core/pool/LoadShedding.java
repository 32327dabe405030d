package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Refuses the jobs whose refusal costs least, until those that remain can start by their
 * latest start times. Within a queue, the newest job is refused first. A job that can
 * only be late is admitted while the backlog is small, so that it uses idle capacity;
 * with a larger backlog it would displace a job that can still be on time.
 */
final class LoadShedding implements AdmissionPolicy {

	/**
	 * The weight of a new sample in the mean work of all jobs, which covers some hundred
	 * samples.
	 */
	private static final double SAMPLE_WEIGHT = 0.005;

	/**
	 * How long after a refusal jobs of priority 0 precede others, in milliseconds.
	 */
	private static final long OVERLOAD_MEMORY_MILLIS = 1_000;

	/**
	 * The interval at which queues are removed that had no job since the last time, in
	 * milliseconds. Queues come and go with published versions, and each pass visits all
	 * of them.
	 */
	private static final long IDLE_CHECK_MILLIS = 30_000;

	private final Map<String, QueueShare> queues = new HashMap<>();

	/** The queues as a list, for the passes over waiting jobs. */
	private final List<QueueShare> queueList = new ArrayList<>();

	private final RefusalCost refusalCost;

	private int sampleCount;

	private double meanWork;

	private boolean severalPriorities;

	private long overloadedMillis = Long.MIN_VALUE / 2;

	private long idleCheckedMillis = Long.MIN_VALUE / 2;

	LoadShedding(RefusalCost refusalCost) {
		this.refusalCost = refusalCost;
	}

	@Override
	public void submitted(PooledJob job, long nowMillis) {
		if (nowMillis - this.idleCheckedMillis >= IDLE_CHECK_MILLIS) {
			this.idleCheckedMillis = nowMillis;
			removeIdleQueues(nowMillis);
		}
		queue(job, nowMillis).submitted(job, nowMillis);
		this.sampleCount++;
		this.meanWork += Math.max(SAMPLE_WEIGHT, 1.0 / this.sampleCount) * (job.totalWork() - this.meanWork);
	}

	@Override
	public void started(PooledJob job, long nowMillis) {
		queue(job, nowMillis).started();
	}

	@Override
	public void refused(PooledJob job, long nowMillis) {
		queue(job, nowMillis).refused(job, nowMillis);
	}

	private void removeIdleQueues(long nowMillis) {
		this.queues.values().removeIf((queue) -> queue.idleMillis(nowMillis) >= IDLE_CHECK_MILLIS);
		this.queueList.retainAll(this.queues.values());
	}

	private QueueShare queue(PooledJob job, long nowMillis) {
		QueueShare queue = this.queues.get(job.terms().queue());
		if (queue == null) {
			queue = new QueueShare(job.terms().priority(), nowMillis);
			queue.cost(cost(queue));
			this.queues.put(job.terms().queue(), queue);
			this.queueList.add(queue);
		}
		return queue;
	}

	@Override
	public List<Refusal> select(PooledJob job, JobQueue queue, PoolCapacity capacity, long nowMillis) {
		List<Refusal> refusals = new ArrayList<>(0);
		queue(job, nowMillis);
		updateCosts();
		Pass pass = new Pass(job, capacity, refusals, nowMillis);
		queue.forEachOnTime(isUrgentFirst(nowMillis), nowMillis, pass::visitOnTime);
		clearCandidates();
		if (this.severalPriorities && !refusals.isEmpty()) {
			this.overloadedMillis = nowMillis;
		}
		queue.late().forEach(pass::visitLate);
		clearCandidates();
		double backlogMillis = capacity.drainMillis(pass.work);
		refusals.replaceAll((each) -> new Refusal(each.job(), each.reason(), each.waitMillis(), backlogMillis));
		return refusals;
	}

	/**
	 * Sets the costs of the queues. If all have the same priority, the costs are equal,
	 * so that the newest job is refused.
	 */
	private void updateCosts() {
		this.severalPriorities = false;
		for (QueueShare queue : this.queueList) {
			this.severalPriorities |= queue.priority() != this.queueList.get(0).priority();
		}
		for (QueueShare queue : this.queueList) {
			queue.cost(cost(queue));
		}
	}

	private double cost(QueueShare queue) {
		return this.severalPriorities ? this.refusalCost.perWork(queue, this.meanWork) : 1;
	}

	@Override
	public boolean isUrgentFirst(long nowMillis) {
		return nowMillis - this.overloadedMillis <= OVERLOAD_MEMORY_MILLIS;
	}

	private void clearCandidates() {
		for (QueueShare queue : this.queueList) {
			queue.candidates().clear();
		}
	}

	@Override
	public boolean shouldCancelWaiting(PooledJob job, double backlogMillis, long nowMillis) {
		boolean tooLate = nowMillis + job.expectedMillis() > job.latestUsefulMillis();
		boolean late = nowMillis > job.latestStartMillis() && !job.isKept();
		return tooLate || late && backlogMillis > job.terms().targetLatencyMillis();
	}

	/**
	 * One pass over the waiting jobs in the order of their starts.
	 */
	private final class Pass {

		private final PooledJob submitted;

		private final PoolCapacity capacity;

		private final List<Refusal> refusals;

		private final long nowMillis;

		private double work;

		private Pass(PooledJob submitted, PoolCapacity capacity, List<Refusal> refusals, long nowMillis) {
			this.submitted = submitted;
			this.capacity = capacity;
			this.refusals = refusals;
			this.nowMillis = nowMillis;
		}

		private void visitOnTime(PooledJob job) {
			visit(job, job.latestStartMillis() - this.nowMillis, "would-be-late");
		}

		private void visitLate(PooledJob job) {
			double usefulMillis = job.latestUsefulMillis() - job.expectedMillis() - this.nowMillis;
			visit(job, Math.min(usefulMillis, job.terms().targetLatencyMillis()), "only-late");
		}

		/**
		 * Adds a job after those ahead of it, and refuses jobs until it can start in
		 * time.
		 * @param job the job
		 * @param slackMillis how long the job can wait, in milliseconds; if negative, it
		 * is no reason to refuse others
		 * @param reason the reason for refusals
		 */
		private void visit(PooledJob job, double slackMillis, String reason) {
			double workAhead = this.work;
			this.work += job.readyWork();
			if (isRefusable(job)) {
				queue(job, this.nowMillis).candidates().add(job);
			}
			double waitMillis = this.capacity.drainMillis(workAhead);
			while (slackMillis >= 0 && waitMillis > slackMillis) {
				QueueShare cheapest = cheapest();
				if (cheapest == null) {
					return;
				}
				PooledJob refused = removeNewest(cheapest.candidates());
				this.refusals.add(new Refusal(refused, reason, waitMillis, 0));
				this.work -= refused.readyWork();
				if (refused == job) {
					return;
				}
				workAhead -= refused.readyWork();
				waitMillis = this.capacity.drainMillis(workAhead);
			}
		}

		private boolean isRefusable(PooledJob job) {
			boolean accepted = job.spec().durable() && job != this.submitted;
			return !job.isStarted() && !job.isKept() && !accepted && !job.isTimed();
		}

		/**
		 * Finds the queue with the lowest cost among those with candidates; among equals,
		 * the one with the newest candidate.
		 * @return the queue, or {@code null} if no job can be refused
		 */
		private QueueShare cheapest() {
			QueueShare cheapest = null;
			for (QueueShare queue : LoadShedding.this.queueList) {
				if (!queue.candidates().isEmpty()
						&& (cheapest == null || queue.cost() < cheapest.cost() || queue.cost() == cheapest.cost()
								&& newest(queue.candidates()) > newest(cheapest.candidates()))) {
					cheapest = queue;
				}
			}
			return cheapest;
		}

		private static long newest(List<PooledJob> jobs) {
			long newest = Long.MIN_VALUE;
			for (int index = 0; index < jobs.size(); index++) {
				newest = Math.max(newest, jobs.get(index).sequence());
			}
			return newest;
		}

		private static PooledJob removeNewest(List<PooledJob> jobs) {
			int newest = 0;
			for (int index = 1; index < jobs.size(); index++) {
				if (jobs.get(index).sequence() > jobs.get(newest).sequence()) {
					newest = index;
				}
			}
			PooledJob last = jobs.get(jobs.size() - 1);
			PooledJob job = jobs.get(newest);
			jobs.set(newest, last);
			jobs.remove(jobs.size() - 1);
			return job;
		}

	}

}
