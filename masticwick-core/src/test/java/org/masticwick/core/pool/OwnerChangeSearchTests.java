package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays random orders of what happens to durable jobs around changes of owners, and
 * checks what callers are promised: nothing starts after an end that was acknowledged as
 * done, no task gets more attempts than it has, and no run number is used twice.
 */
class OwnerChangeSearchTests {

	private static final int SEED_COUNT = Integer.getInteger("orders.seeds", 150);

	private static final int FIRST_SEED = Integer.getInteger("orders.first", 1);

	private static final int EVENT_COUNT = 120;

	private static final StepTraits GANG = new StepTraits(true, false, false, false);

	private static final StepTraits LONG_RUNNING = new StepTraits(false, true, false, false);

	private static StepSpec step(int taskCount, StepTraits traits, Integer... after) {
		return new StepSpec(taskCount, new Resources(1_000, 1, 0), 100, List.of(after), "", "", 0, traits);
	}

	private enum Kind {

		STEPS(step(1, StepTraits.DEFAULT), step(2, StepTraits.DEFAULT, 0), step(1, StepTraits.DEFAULT, 1)),

		GANGS(step(3, GANG), step(2, GANG, 0)),

		LASTING(step(2, LONG_RUNNING)),

		OCCURRENCES(step(2, StepTraits.DEFAULT));

		private final List<StepSpec> steps;

		Kind(StepSpec... steps) {
			this.steps = List.of(steps);
		}

		private JobSpec job() {
			JobSchedule schedule = (this == OCCURRENCES) ? new JobSchedule(4, LoggingOwner.EPOCH_MILLIS + 500, 2_000)
					: JobSchedule.IMMEDIATE;
			return new JobSpec("j", "payload", this.steps, true, schedule);
		}

	}

	@Nested
	class RandomOrders {

		@ParameterizedTest
		@EnumSource(Kind.class)
		void keepThePromises(Kind kind) {
			for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
				Play play = new Play(kind.job(), seed);
				play.run();
				assertThat(play.broken).as("seed %d: %s", seed, play.events).isEmpty();
			}
		}

	}

	@Nested
	class Endings {

		// Without disruptions at the end each job must finish, so that the search is not
		// one over owners that do nothing.
		@Test
		void jobsOfStepsFinish() {
			for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
				Play play = new Play(Kind.STEPS.job(), seed);
				play.run();
				assertThat(play.settle()).as("seed %d: %s", seed, play.events).isTrue();
			}
		}

	}

	/**
	 * One order of events: an owner of the job, a neighbour that may own endpoints, and
	 * endpoints that change between the two.
	 */
	private static final class Play {

		private final Random random;

		private final LoggingOwner.Log log = new LoggingOwner.Log();

		private final LoggingOwner neighbour = new LoggingOwner(new LoggingOwner.Log());

		private final Map<ListingEndpoint, LoggingOwner> endpoints = new LinkedHashMap<>();

		private final Map<ListingEndpoint, Set<TaskRun>> running = new LinkedHashMap<>();

		private final Map<TerminationId, TerminatedRun> forwarded = new LinkedHashMap<>();

		private final Set<TaskRun> started = new HashSet<>();

		private final Set<TaskId> acknowledgedDone = new HashSet<>();

		private final Map<TaskId, Set<Integer>> acknowledgedFailures = new HashMap<>();

		private final Set<TerminationId> lapsed = new HashSet<>();

		private final List<String> broken = new ArrayList<>();

		private final List<String> events = new ArrayList<>();

		private final JobSpec job;

		private LoggingOwner owner;

		private int seenStartCount;

		private long nowMillis = 1;

		private Play(JobSpec job, long seed) {
			this.job = job;
			this.random = new Random(seed);
			this.neighbour.mayHaveToRead("j");
			this.owner = new LoggingOwner(this.log);
			for (int number = 0; number < 3; number++) {
				ListingEndpoint endpoint = new ListingEndpoint("e" + number, number);
				this.running.put(endpoint, new LinkedHashSet<>());
				own(endpoint, this.owner);
			}
			this.owner.submit(this.job, 10);
			this.owner.store(10);
		}

		private void own(ListingEndpoint endpoint, LoggingOwner newOwner) {
			this.endpoints.put(endpoint, newOwner);
			newOwner.scheduler().endpointListed(endpoint.entry(), this.nowMillis);
			newOwner.hear(endpoint, this.nowMillis);
		}

		private void run() {
			for (int event = 0; event < EVENT_COUNT; event++) {
				this.nowMillis += this.random.nextInt(200);
				play(this.random.nextInt(100));
				update();
			}
		}

		private void play(int dice) {
			ListingEndpoint endpoint = List.copyOf(this.endpoints.keySet()).get(this.random.nextInt(3));
			if (dice < 30) {
				endRun(endpoint);
			}
			else if (dice < 60) {
				this.endpoints.get(endpoint).hear(endpoint, this.nowMillis);
			}
			else if (dice < 75) {
				this.owner.store(this.nowMillis);
			}
			else if (dice < 85) {
				this.owner.finishJobs(this.nowMillis);
			}
			else if (dice < 90) {
				forward();
			}
			else if (dice < 93) {
				move(endpoint);
			}
			else if (dice < 96) {
				loseLease(endpoint);
			}
			else {
				changeOwner();
			}
		}

		private void endRun(ListingEndpoint endpoint) {
			this.running.get(endpoint).stream().findAny().ifPresent((run) -> {
				TerminationKind[] kinds = { TerminationKind.DONE, TerminationKind.DONE, TerminationKind.FAILED,
						TerminationKind.STOPPED };
				end(endpoint, run, kinds[this.random.nextInt(kinds.length)]);
			});
		}

		private void end(ListingEndpoint endpoint, TaskRun run, TerminationKind kind) {
			this.running.get(endpoint).remove(run);
			endpoint.end(run, kind);
			this.events.add(this.nowMillis + " " + run + " ends " + kind + " on " + endpoint.id());
		}

		private void forward() {
			this.forwarded
				.forEach((id, end) -> this.owner.jobs().orphanedRunTerminated(id, end, this.owner.at(this.nowMillis)));
			this.forwarded.clear();
		}

		private void move(ListingEndpoint endpoint) {
			LoggingOwner previous = this.endpoints.get(endpoint);
			previous.scheduler().endpointRevoked(endpoint.id(), this.nowMillis);
			own(endpoint, (previous == this.owner) ? this.neighbour : this.owner);
			this.events.add(this.nowMillis + " " + endpoint.id() + " has another owner");
		}

		private void loseLease(ListingEndpoint endpoint) {
			this.events.add(this.nowMillis + " the lease of " + endpoint.id() + " ends");
			endpoint.ends().keySet().forEach(this.lapsed::add);
			List.copyOf(this.running.get(endpoint)).forEach((run) -> end(endpoint, run, TerminationKind.LAPSED));
			this.endpoints.get(endpoint).scheduler().leaseExpired(endpoint.id(), this.nowMillis);
		}

		private void changeOwner() {
			this.events.add(this.nowMillis + " the owner is killed");
			LoggingOwner killed = this.owner;
			this.owner = new LoggingOwner(this.log);
			this.owner.clockBehindMillis(this.random.nextInt(3) * 1_000L);
			this.seenStartCount = 0;
			this.forwarded.clear();
			this.endpoints.forEach((endpoint, previous) -> {
				if (previous == killed) {
					own(endpoint, this.owner);
				}
			});
			this.owner.read(this.nowMillis);
			this.nowMillis += 2_000;
			this.endpoints.forEach((endpoint, present) -> present.hear(endpoint, this.nowMillis));
			this.owner.resume(this.nowMillis);
		}

		private void update() {
			this.owner.tick(this.nowMillis);
			startRuns();
			collectForwarded();
			this.owner.storedTerminations().forEach(this.neighbour.scheduler()::orphanedTerminationRecorded);
			this.endpoints.forEach(this::discardAcknowledged);
		}

		private void startRuns() {
			for (; this.seenStartCount < this.owner.starts().size(); this.seenStartCount++) {
				RecordedActions.Start start = this.owner.starts().get(this.seenStartCount);
				ListingEndpoint endpoint = this.endpoints.keySet()
					.stream()
					.filter((each) -> each.id().equals(start.endpointId()))
					.findFirst()
					.orElseThrow();
				check(start.run());
				endpoint.run(start.run());
				this.running.get(endpoint).add(start.run());
				this.owner.scheduler().startAccepted(endpoint.id(), start.run(), this.nowMillis);
				this.events.add(this.nowMillis + " " + start.run() + " starts on " + endpoint.id());
			}
		}

		private void check(TaskRun run) {
			boolean lasts = this.job.steps().get(run.task().step()).traits().longRunning();
			if (!this.started.add(run)) {
				this.broken.add(run + " starts twice");
			}
			if (!lasts && this.acknowledgedDone.contains(run.task())) {
				this.broken.add(run + " starts after an end that was acknowledged as done");
			}
			int failureCount = this.acknowledgedFailures.getOrDefault(run.task(), Set.of()).size();
			if (!lasts && failureCount >= LoggingOwner.terms().maxAttempts()) {
				this.broken.add(run + " starts after " + failureCount + " failed runs");
			}
		}

		private void collectForwarded() {
			this.neighbour.actions()
				.orphanedTerminations()
				.forEach((id) -> this.endpoints.keySet()
					.forEach((endpoint) -> endpoint.ends()
						.entrySet()
						.stream()
						.filter((end) -> end.getKey().equals(id))
						.forEach((end) -> this.forwarded.put(id, end.getValue()))));
			this.neighbour.actions().orphanedTerminations().clear();
		}

		private void discardAcknowledged(ListingEndpoint endpoint, LoggingOwner present) {
			long number = present.acknowledged(endpoint);
			endpoint.ends().forEach((id, end) -> {
				if (id.number() <= number && !this.lapsed.contains(id)) {
					recordAcknowledged(end);
				}
			});
			endpoint.discardUpTo(number);
		}

		private void recordAcknowledged(TerminatedRun end) {
			if (end.kind() == TerminationKind.DONE) {
				this.acknowledgedDone.add(end.run().task());
			}
			else if (end.kind() == TerminationKind.FAILED) {
				this.acknowledgedFailures.computeIfAbsent(end.run().task(), (task) -> new HashSet<>())
					.add(end.run().number());
			}
		}

		/**
		 * Lets everything end as done, without a disruption.
		 * @return whether the job has finished
		 */
		private boolean settle() {
			List.copyOf(this.endpoints.keySet()).forEach((endpoint) -> {
				if (this.endpoints.get(endpoint) == this.neighbour) {
					move(endpoint);
				}
			});
			for (int round = 0; round < 40; round++) {
				this.nowMillis += 600;
				this.running.forEach((endpoint, runs) -> List.copyOf(runs)
					.forEach((run) -> end(endpoint, run, TerminationKind.DONE)));
				this.endpoints.forEach((endpoint, present) -> present.hear(endpoint, this.nowMillis));
				update();
				forward();
				this.owner.finishJobs(this.nowMillis);
				this.owner.store(this.nowMillis);
				update();
			}
			return this.owner.jobs()
				.status("j")
				.filter((status) -> status == JobStatus.COMPLETED || status == JobStatus.FAILED)
				.isPresent();
		}

	}

}
