package org.masticwick.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Scheduler} under random sequences of events.
 */
class SchedulerPropertiesTests {

	private static final int SLOT_COUNT = 3;

	@Property(tries = 200, seed = "20261203")
	void upholdsInvariantsUnderRandomEvents(@ForAll long seed, @ForAll @IntRange(min = 0, max = 5) int placement,
			@ForAll @Size(min = 20, max = 300) List<@IntRange(min = 0, max = 9) Integer> events) {
		new EventSequence(seed, placement).execute(events);
	}

	private static final class EventSequence {

		private static final List<String> PLACEMENTS = List.of("random", "round-robin", "least-of-two",
				"least-of-two-peers", "slot-share", "owner");

		private final Map<TaskId, StartCommand> outstanding = new HashMap<>();

		private final Set<TaskId> started = new HashSet<>();

		private final Set<TaskId> terminated = new HashSet<>();

		private final Set<TaskId> queued = new HashSet<>();

		private final List<String> tickets = new ArrayList<>();

		private final Random random;

		private final Scheduler scheduler;

		private long nowNanos;

		EventSequence(long seed, int placement) {
			this.random = new Random(seed);
			this.scheduler = Fixtures.scheduler(SchedulerSettings.defaults(),
					Fixtures.version(1, Map.of("dispatch/placement", PLACEMENTS.get(placement)),
							Fixtures.endpoint(1, Fixtures.DOMAIN, SLOT_COUNT),
							Fixtures.endpoint(2, Fixtures.DOMAIN, SLOT_COUNT),
							Fixtures.endpoint(3, Fixtures.OTHER_DOMAIN, SLOT_COUNT)));
		}

		void execute(List<Integer> events) {
			events.forEach((event) -> {
				this.nowNanos += this.random.nextInt(50) * Fixtures.NANOS_PER_MILLI;
				switch (event) {
					case 0, 1, 2 -> admit();
					case 3, 4, 5, 6 -> recordRandomOutcome();
					case 7 -> cancel();
					case 8 -> this.scheduler.updateEndpointState(Fixtures.address(1 + this.random.nextInt(2)),
							EndpointState.values()[this.random.nextInt(3)], this.nowNanos);
					default -> advanceClock();
				}
				runPass();
			});
			terminateAll();
		}

		private void advanceClock() {
			this.nowNanos += 500 * Fixtures.NANOS_PER_MILLI;
		}

		private void admit() {
			String ticket = "t" + this.tickets.size();
			int count = 1 + this.random.nextInt(6);
			JobRequest request = Fixtures.request("team" + this.random.nextInt(3), this.random.nextBoolean(), count);
			long deadlineNanos = this.nowNanos + this.random.nextInt(5_000) * Fixtures.NANOS_PER_MILLI;
			this.tickets.add(ticket);
			if (this.scheduler.admit(new JobSubmission(ticket, request, deadlineNanos),
					this.nowNanos) instanceof Admission.Admitted) {
				for (int index = 0; index < count; index++) {
					this.queued.add(new TaskId(ticket, index));
				}
			}
		}

		private void recordRandomOutcome() {
			if (this.outstanding.isEmpty()) {
				return;
			}
			StartCommand start = this.outstanding.values().iterator().next();
			StartOutcome.Kind kind = StartOutcome.Kind.values()[this.random.nextInt(StartOutcome.Kind.values().length)];
			this.outstanding.remove(start.task());
			Disposition disposition = this.scheduler.recordOutcome(start.task(), Fixtures.outcome(start, kind),
					this.nowNanos);
			if (disposition instanceof Disposition.Requeued) {
				assertThat(kind.notStarted()).isTrue();
				this.queued.add(start.task());
				return;
			}
			this.terminated.add(start.task());
		}

		private void cancel() {
			if (this.tickets.isEmpty()) {
				return;
			}
			String ticket = this.tickets.get(this.random.nextInt(this.tickets.size()));
			List<TaskId> queuedOfJob = this.queued.stream().filter((task) -> task.ticket().equals(ticket)).toList();
			List<TaskId> cancelled = new ArrayList<>(this.scheduler.cancel(ticket, this.nowNanos));
			cancelled.forEach(this::terminateQueued);
			assertThat(queuedOfJob).containsAll(cancelled);
		}

		private void runPass() {
			SchedulingDecisions decisions = this.scheduler.schedule(this.nowNanos);
			decisions.droppedTasks().forEach((dropped) -> terminateQueued(dropped.task()));
			decisions.starts().forEach((start) -> {
				assertThat(this.queued.remove(start.task())).as("is queued exactly once").isTrue();
				assertThat(this.terminated).doesNotContain(start.task());
				assertThat(this.outstanding.put(start.task(), start)).isNull();
				this.started.add(start.task());
			});
			Map<HostAddress, Integer> outstandingCounts = new HashMap<>();
			this.outstanding.values()
				.forEach((start) -> outstandingCounts.merge(start.endpoint().address(), 1, Integer::sum));
			assertThat(outstandingCounts.values()).allMatch((count) -> count <= SLOT_COUNT);
			assertThat(this.scheduler.loadReport(this.nowNanos).outstanding()).isEqualTo(outstandingCounts);
		}

		private void terminateQueued(TaskId task) {
			assertThat(this.queued.remove(task)).as("is queued").isTrue();
			this.terminated.add(task);
		}

		private void terminateAll() {
			this.nowNanos += 100_000 * Fixtures.NANOS_PER_MILLI;
			runPass();
			while (!this.outstanding.isEmpty()) {
				recordRandomOutcome();
				runPass();
			}
			this.nowNanos += 100_000 * Fixtures.NANOS_PER_MILLI;
			runPass();
			assertThat(this.queued).isEmpty();
			assertThat(this.scheduler.loadReport(this.nowNanos).teamRunning()).isEmpty();
			assertThat(this.scheduler.snapshot(this.nowNanos).teams()).isEmpty();
			assertThat(this.scheduler.snapshot(this.nowNanos).services()).allSatisfy((service) -> {
				assertThat(service.queuedCount()).isZero();
				assertThat(service.runningCount()).isZero();
				assertThat(service.jobCount()).isZero();
			});
		}

	}

}
