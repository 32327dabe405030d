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
	void keepsItsPromises(@ForAll long seed, @ForAll @IntRange(min = 0, max = 5) int placement,
			@ForAll @Size(min = 20, max = 300) List<@IntRange(min = 0, max = 9) Integer> events) {
		new Run(seed, placement).play(events);
	}

	private static final class Run {

		private static final List<String> PLACEMENTS = List.of("random", "round-robin", "least-of-two",
				"least-of-two-peers", "slot-share", "owner");

		private final Map<TaskId, StartCommand> running = new HashMap<>();

		private final Set<TaskId> started = new HashSet<>();

		private final Set<TaskId> over = new HashSet<>();

		private final Set<TaskId> pending = new HashSet<>();

		private final List<String> tickets = new ArrayList<>();

		private final Random random;

		private final Scheduler scheduler;

		private long nowNanos;

		Run(long seed, int placement) {
			this.random = new Random(seed);
			this.scheduler = Fixtures.scheduler(SchedulerSettings.defaults(),
					Fixtures.version(1, Map.of("dispatch/placement", PLACEMENTS.get(placement)),
							Fixtures.endpoint(1, Fixtures.DOMAIN, SLOT_COUNT),
							Fixtures.endpoint(2, Fixtures.DOMAIN, SLOT_COUNT),
							Fixtures.endpoint(3, Fixtures.OTHER_DOMAIN, SLOT_COUNT)));
		}

		void play(List<Integer> events) {
			events.forEach((event) -> {
				this.nowNanos += this.random.nextInt(50) * Fixtures.MILLI;
				switch (event) {
					case 0, 1, 2 -> admit();
					case 3, 4, 5, 6 -> end();
					case 7 -> cancel();
					case 8 -> this.scheduler.updateEndpointState(Fixtures.address(1 + this.random.nextInt(2)),
							EndpointState.values()[this.random.nextInt(3)], this.nowNanos);
					default -> pause();
				}
				turn();
			});
			drain();
		}

		private void pause() {
			this.nowNanos += 500 * Fixtures.MILLI;
		}

		private void admit() {
			String ticket = "t" + this.tickets.size();
			int count = 1 + this.random.nextInt(6);
			JobRequest request = Fixtures.request("team" + this.random.nextInt(3), this.random.nextBoolean(), count);
			long deadlineNanos = this.nowNanos + this.random.nextInt(5_000) * Fixtures.MILLI;
			this.tickets.add(ticket);
			if (this.scheduler.admit(new JobSubmission(ticket, request, deadlineNanos),
					this.nowNanos) instanceof Admission.Admitted) {
				for (int index = 0; index < count; index++) {
					this.pending.add(new TaskId(ticket, index));
				}
			}
		}

		private void end() {
			if (this.running.isEmpty()) {
				return;
			}
			StartCommand start = this.running.values().iterator().next();
			StartOutcome.Kind kind = StartOutcome.Kind.values()[this.random.nextInt(StartOutcome.Kind.values().length)];
			this.running.remove(start.task());
			Disposition disposition = this.scheduler.recordOutcome(start.task(), Fixtures.end(start, kind),
					this.nowNanos);
			if (disposition instanceof Disposition.Requeued) {
				assertThat(kind.notStarted()).isTrue();
				this.pending.add(start.task());
				return;
			}
			this.over.add(start.task());
		}

		private void cancel() {
			if (this.tickets.isEmpty()) {
				return;
			}
			String ticket = this.tickets.get(this.random.nextInt(this.tickets.size()));
			List<TaskId> expected = this.pending.stream().filter((task) -> task.ticket().equals(ticket)).toList();
			List<TaskId> cancelled = new ArrayList<>(this.scheduler.cancel(ticket, this.nowNanos));
			cancelled.forEach(this::forget);
			assertThat(expected).containsAll(cancelled);
		}

		private void turn() {
			SchedulingDecisions turn = this.scheduler.schedule(this.nowNanos);
			turn.droppedTasks().forEach((dropped) -> forget(dropped.task()));
			turn.starts().forEach((start) -> {
				assertThat(this.pending.remove(start.task())).as("waits once").isTrue();
				assertThat(this.over).doesNotContain(start.task());
				assertThat(this.running.put(start.task(), start)).isNull();
				this.started.add(start.task());
			});
			Map<HostAddress, Integer> counts = new HashMap<>();
			this.running.values().forEach((start) -> counts.merge(start.endpoint().address(), 1, Integer::sum));
			assertThat(counts.values()).allMatch((count) -> count <= SLOT_COUNT);
			assertThat(this.scheduler.loadReport(this.nowNanos).outstanding()).isEqualTo(counts);
		}

		private void forget(TaskId task) {
			assertThat(this.pending.remove(task)).as("is queued").isTrue();
			this.over.add(task);
		}

		private void drain() {
			this.nowNanos += 100_000 * Fixtures.MILLI;
			turn();
			while (!this.running.isEmpty()) {
				end();
				turn();
			}
			this.nowNanos += 100_000 * Fixtures.MILLI;
			turn();
			assertThat(this.pending).isEmpty();
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
