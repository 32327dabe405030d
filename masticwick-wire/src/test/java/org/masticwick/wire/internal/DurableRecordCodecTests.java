package org.masticwick.wire.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.core.pool.DurableState;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.OccurrenceProgress;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.TaskProgress;
import org.masticwick.wire.MalformedMessageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that {@link DurableRecordCodec} either returns a value within its bounds or
 * throws {@link MalformedMessageException} for bytes of another writer.
 */
class DurableRecordCodecTests {

	private static final String SEED = "20261205";

	private static final JobTerms TERMS = new JobTerms("queue", "service", 2, 4, 1.6, 60, 1_500, 7);

	private static final StepSpec STEP = step(8, new Resources(27_000, 64, 1), List.of());

	private static StepSpec step(int taskCount, Resources demand, List<Integer> predecessors) {
		return new StepSpec(taskCount, demand, 60, predecessors, "kind-a", "rack-1", 2);
	}

	private static DurableJob job(JobSchedule schedule, StepSpec... steps) {
		return new DurableJob(new JobSpec("5c0e7a21d94b36f8", "payload", List.of(steps), true, schedule), TERMS, 9);
	}

	private static DurableProgress progress(int occurrence, int step, int index, int run) {
		return new DurableProgress(DurableState.ACTIVE, 9, List.of(new OccurrenceProgress(occurrence, false,
				List.of(new TaskProgress(step, index, false, run, 1, "half", List.of(), List.of(run))))));
	}

	private static byte[] mutate(byte[] bytes, long seed) {
		Random random = new Random(seed);
		random.ints(random.nextInt(4), 0, bytes.length).forEach((index) -> bytes[index] = (byte) random.nextInt());
		return random.nextBoolean() ? bytes : Arrays.copyOf(bytes, random.nextInt(bytes.length));
	}

	private static void assertValid(DurableJob job) {
		job.spec().steps().forEach((step) -> {
			assertThat(step.taskCount()).isPositive();
			assertThat(step.demand().cpuMillicores()).isNotNegative();
			assertThat(step.demand().gpuCount()).isNotNegative();
			assertThat(step.predecessors()).allMatch((number) -> number >= 0 && number < job.spec().steps().size());
		});
		JobSchedule schedule = job.spec().schedule();
		assertThat(schedule.dueEpochMillis(schedule.count() - 1)).isGreaterThanOrEqualTo(schedule.firstEpochMillis());
	}

	private static void assertValid(DurableProgress progress) {
		progress.occurrences().forEach((occurrence) -> {
			assertThat(occurrence.occurrence()).isNotNegative();
			occurrence.tasks().forEach((task) -> assertThat(task.index()).isNotNegative());
		});
	}

	@Property(seed = SEED)
	void jobsAreDecodedOrRejected(@ForAll long seed) {
		byte[] bytes = mutate(
				DurableRecordCodec.encode(job(new JobSchedule(3, 7, 500), STEP, step(1, Resources.NONE, List.of(0)))),
				seed);
		try {
			assertValid(DurableRecordCodec.decodeJob(bytes));
		}
		catch (MalformedMessageException ex) {
			assertThat(ex).hasMessageNotContaining("null");
		}
	}

	@Property(seed = SEED)
	void progressIsDecodedOrRejected(@ForAll long seed) {
		byte[] bytes = mutate(DurableRecordCodec.encode(progress(1, 0, 7, 2)), seed);
		try {
			assertValid(DurableRecordCodec.decodeProgress(bytes));
		}
		catch (MalformedMessageException ex) {
			assertThat(ex).hasMessageNotContaining("null");
		}
	}

	private static void assertRejected(DurableJob job) {
		assertThatThrownBy(() -> DurableRecordCodec.decodeJob(DurableRecordCodec.encode(job)))
			.isInstanceOf(MalformedMessageException.class);
	}

	@Example
	void jobsThatCannotBeAreRejected() {
		assertRejected(job(JobSchedule.IMMEDIATE, step(0, Resources.NONE, List.of())));
		assertRejected(job(JobSchedule.IMMEDIATE, step(-1, Resources.NONE, List.of())));
		assertRejected(job(JobSchedule.IMMEDIATE, step(1, new Resources(-1, 0, 0), List.of())));
		assertRejected(job(JobSchedule.IMMEDIATE, step(1, new Resources(0, -1, 0), List.of())));
		assertRejected(job(JobSchedule.IMMEDIATE, step(1, new Resources(0, 0, -1), List.of())));
		assertRejected(job(JobSchedule.IMMEDIATE, step(1, Resources.NONE, List.of(0))));
		assertRejected(job(new JobSchedule(-1, 0, 0), STEP));
		assertRejected(job(new JobSchedule(3, -1, 5), STEP));
		assertRejected(job(new JobSchedule(3, 1, -5), STEP));
		assertRejected(job(new JobSchedule(1_000_000, 1, 1L << 60), STEP));
	}

	@Example
	void progressThatCannotBeIsRejected() {
		for (DurableProgress progress : List.of(progress(-1, 0, 0, 1), progress(0, -1, 0, 1), progress(0, 0, -1, 1),
				progress(0, 0, 0, -1))) {
			assertThatThrownBy(() -> DurableRecordCodec.decodeProgress(DurableRecordCodec.encode(progress)))
				.isInstanceOf(MalformedMessageException.class);
		}
	}

}
