package org.masticwick.core.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadShedding}.
 */
class LoadSheddingTests {

	/** One core of capacity, so that a task of 1,000 millicores needs its run time. */
	private static final PoolCapacity CAPACITY = new PoolCapacity(1_000, 1);

	private final LoadShedding admission = new LoadShedding(new PriorityCost());

	private final JobQueue queue = new JobQueue();

	private long sequence;

	/**
	 * Creates a job that can wait 66 ms.
	 */
	private PooledJob job(String queueName, int priority, int taskCount, long nowMillis) {
		StepSpec step = new StepSpec(taskCount, new Resources(1_000, 1, 0), 60, List.of(), "", "", 0);
		JobSpec spec = new JobSpec(queueName + this.sequence, "", List.of(step));
		JobTerms terms = new JobTerms(queueName, "service", priority, 2, 1.6, 60, 5_000, 1);
		return new PooledJob(spec, terms, JobOrigin.NONE, this.sequence++, nowMillis, new RunTimeEstimator());
	}

	private List<PooledJob> submit(PooledJob job, long nowMillis) {
		this.admission.submitted(job, nowMillis);
		this.queue.add(job, nowMillis);
		List<Refusal> refusals = this.admission.select(job, this.queue, CAPACITY, nowMillis);
		refusals.forEach((refusal) -> {
			this.queue.remove(refusal.job());
			this.admission.refused(refusal.job(), nowMillis);
		});
		return refusals.stream().map(Refusal::job).toList();
	}

	private PooledJob submitAdmitted(String queueName, int priority, int taskCount, long nowMillis) {
		PooledJob job = job(queueName, priority, taskCount, nowMillis);
		assertThat(submit(job, nowMillis)).isEmpty();
		return job;
	}

	@Nested
	class SufficientCapacity {

		@Test
		void noJobIsRefusedAndTheOrderIsByLatestStartTime() {
			PooledJob first = submitAdmitted("low", 2, 1, 0);
			PooledJob second = submitAdmitted("urgent", 0, 1, 1);
			assertThat(LoadSheddingTests.this.admission.isUrgentFirst(1)).isFalse();
			assertThat(LoadSheddingTests.this.queue.inDispatchOrder(false, 1)).containsExactly(first, second);
		}

	}

	@Nested
	class Overload {

		/**
		 * Guards against refusing jobs of priority 0 while jobs of lower priorities wait.
		 */
		@Test
		void refusesAWaitingJobOfALowerPriorityForOneOfPriorityZero() {
			PooledJob low = submitAdmitted("low", 2, 2, 0);
			PooledJob urgent = job("urgent", 0, 1, 1);
			assertThat(submit(urgent, 1)).containsExactly(low);
			assertThat(LoadSheddingTests.this.queue.contains(urgent)).isTrue();
		}

		@Test
		void refusesTheNewJobIfItsPriorityIsLower() {
			submitAdmitted("urgent", 0, 2, 0);
			PooledJob low = job("low", 1, 1, 1);
			assertThat(submit(low, 1)).containsExactly(low);
		}

		/** Guards against discarding the work of tasks that run already. */
		@Test
		void neverRefusesAStartedJob() {
			PooledJob started = submitAdmitted("low", 2, 2, 0);
			started.markStarted();
			PooledJob urgent = job("urgent", 0, 1, 1);
			assertThat(submit(urgent, 1)).containsExactly(urgent);
		}

		/**
		 * Guards against refusing a durable job whose caller was told that it is
		 * accepted.
		 */
		@Test
		void neverRefusesADurableJobThatWasAccepted() {
			StepSpec step = new StepSpec(2, new Resources(1_000, 1, 0), 60, List.of(), "", "", 0);
			JobSpec spec = new JobSpec("durable", "", List.of(step), true, JobSchedule.IMMEDIATE);
			JobTerms terms = new JobTerms("low", "service", 2, 2, 1.6, 60, 5_000, 1);
			LoadSheddingTests.this.queue.add(new PooledJob(spec, terms, JobOrigin.NONE,
					LoadSheddingTests.this.sequence++, 0, new RunTimeEstimator()), 0);
			PooledJob urgent = job("urgent", 0, 1, 1);
			assertThat(submit(urgent, 1)).containsExactly(urgent);
		}

		/**
		 * Guards against refusing the largest jobs of a queue more often than the others.
		 */
		@Test
		void refusesTheNewestOfAQueueWhateverItsSize() {
			submitAdmitted("low", 2, 1, 0);
			PooledJob large = submitAdmitted("low", 2, 6, 1);
			PooledJob newest = job("low", 2, 1, 2);
			assertThat(submit(newest, 2)).containsExactly(newest);
			assertThat(LoadSheddingTests.this.queue.contains(large)).isTrue();
		}

		@Test
		void refusesOnlyTheNewJobIfAllHaveTheSamePriority() {
			submitAdmitted("first", 1, 2, 0);
			PooledJob newest = job("second", 1, 1, 1);
			assertThat(submit(newest, 1)).containsExactly(newest);
			assertThat(LoadSheddingTests.this.admission.isUrgentFirst(1)).isFalse();
		}

		@Test
		void namesTheFiguresOfTheDecision() {
			submitAdmitted("urgent", 0, 2, 0);
			PooledJob low = job("low", 1, 1, 1);
			LoadSheddingTests.this.queue.add(low, 1);
			Refusal refusal = LoadSheddingTests.this.admission.select(low, LoadSheddingTests.this.queue, CAPACITY, 1)
				.get(0);
			assertThat(refusal.description()).isEqualTo("would-be-late priority=1 wait_ms=120 backlog_ms=120");
		}

	}

	@Nested
	class StarvedQueues {

		@Test
		void getTheirNextJobAdmittedAfterHalfASecond() {
			submitAdmitted("urgent", 0, 30, 0).markStarted();
			PooledJob refused = job("low", 2, 1, 10);
			assertThat(submit(refused, 10)).containsExactly(refused);
			PooledJob stillRefused = job("low", 2, 1, 500);
			assertThat(submit(stillRefused, 500)).containsExactly(stillRefused);
			PooledJob kept = job("low", 2, 1, 510);
			assertThat(submit(kept, 510)).isEmpty();
			assertThat(kept.isKept()).isTrue();
		}

		@Test
		void areNotThoseWithAStartedJob() {
			submitAdmitted("urgent", 0, 30, 0).markStarted();
			PooledJob refused = job("low", 2, 1, 10);
			submit(refused, 10);
			LoadSheddingTests.this.admission.started(refused, 400);
			PooledJob later = job("low", 2, 1, 520);
			assertThat(submit(later, 520)).containsExactly(later);
		}

	}

	/**
	 * Tests for {@link PriorityCost}.
	 */
	@Nested
	class Costs {

		private QueueShare share(int priority, int taskCount) {
			QueueShare share = new QueueShare(priority, 0);
			share.submitted(job("queue", priority, taskCount, 0), 0);
			return share;
		}

		@Test
		void halveWithEachPriority() {
			RefusalCost cost = new PriorityCost();
			assertThat(cost.perWork(share(1, 1), 60_000)).isEqualTo(2 * cost.perWork(share(2, 1), 60_000));
			assertThat(cost.perWork(share(0, 1), 60_000)).isInfinite();
		}

		@Test
		void areHigherPerWorkForSmallJobs() {
			RefusalCost cost = new PriorityCost();
			assertThat(cost.perWork(share(1, 1), 60_000)).isGreaterThan(cost.perWork(share(1, 5), 60_000));
		}

		/** Guards against one queue that bears all refusals. */
		@Test
		void riseWithTheShareThatWasRefused() {
			QueueShare share = share(1, 1);
			double before = new PriorityCost().perWork(share, 60_000);
			share.submitted(job("queue", 1, 1, 0), 0);
			share.refused(job("queue", 1, 1, 0), 0);
			assertThat(new PriorityCost().perWork(share, 60_000)).isEqualTo(2 * before);
		}

	}

	@Nested
	class IdleQueues {

		/**
		 * Guards against passes that visit the queues of all versions published since the
		 * start of the process.
		 */
		@Test
		void areForgotten() {
			LoadSheddingTests.this.queue.remove(submitAdmitted("withdrawn", 2, 1, 0));
			submitAdmitted("published", 1, 2, 40_000);
			PooledJob newest = job("published", 1, 1, 40_001);
			assertThat(submit(newest, 40_001)).containsExactly(newest);
			assertThat(LoadSheddingTests.this.admission.isUrgentFirst(40_001)).isFalse();
		}

	}

	@Nested
	class QueuesOfAnotherOwner {

		/**
		 * Guards against refusing the first durable job of a queue of priority 0, which
		 * is only checked and not submitted, before jobs of lower priorities.
		 */
		@Test
		void areNotTheCheapest() {
			PooledJob low = submitAdmitted("low", 2, 2, 0);
			PooledJob urgent = job("urgent", 0, 1, 1);
			LoadSheddingTests.this.queue.add(urgent, 1);
			assertThat(LoadSheddingTests.this.admission.select(urgent, LoadSheddingTests.this.queue, CAPACITY, 1))
				.extracting(Refusal::job)
				.containsExactly(low);
		}

	}

}
