package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.LogPage;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the marker of durable jobs: no job is stored before its owner has read the
 * marker, and with it each claim that came before.
 */
class DurableJobsMarkerTests {

	private static final byte[] VALUE = { 1 };

	private final VirtualTime time = new VirtualTime();

	private final VirtualEventLoop eventLoop = new VirtualEventLoop(this.time, "host-1");

	private final ManualTopic topic = new ManualTopic();

	private final DurableJobsMarker marker = new DurableJobsMarker(this.eventLoop, this.topic);

	@BeforeEach
	void useSimulatedTime() {
		Clock.useSource(this.time);
	}

	@AfterEach
	void useSystemTime() {
		Clock.useSystemSource();
	}

	private void read(long offset) {
		this.marker.onRecord(new KeyedRecord(offset, DurableJobsMarker.KEY, VALUE));
	}

	@Nested
	class Storing {

		@Test
		void completesOnceTheMarkerAndAllBeforeItAreRead() {
			CompletableFuture<Void> stored = DurableJobsMarkerTests.this.marker.store();
			DurableJobsMarkerTests.this.topic.answer();
			assertThat(stored).as("appended, but not read").isNotDone();
			read(7);
			DurableJobsMarkerTests.this.marker.onUpToDate(7);
			assertThat(stored).as("a load that began before the marker was appended").isNotDone();
			DurableJobsMarkerTests.this.marker.onUpToDate(8);
			assertThat(stored).isCompleted();
			assertThat(DurableJobsMarkerTests.this.marker.isStored()).isTrue();
		}

		@Test
		void completesAtOnceIfItIsStored() {
			read(7);
			DurableJobsMarkerTests.this.marker.onUpToDate(8);
			assertThat(DurableJobsMarkerTests.this.marker.store()).isCompleted();
			assertThat(DurableJobsMarkerTests.this.topic.appends).isEmpty();
		}

		@Test
		void failsIfTheLogRefusesIt() {
			CompletableFuture<Void> stored = DurableJobsMarkerTests.this.marker.store();
			DurableJobsMarkerTests.this.topic.refuse();
			assertThat(stored).isCompletedExceptionally();
			assertThat(DurableJobsMarkerTests.this.marker.isStored()).isFalse();
		}

		@Test
		void failsIfTheLogIsSilentAndMayBeRepeated() {
			CompletableFuture<Void> first = DurableJobsMarkerTests.this.marker.store();
			DurableJobsMarkerTests.this.time.run(1_100);
			assertThat(first).isCompletedExceptionally();
			CompletableFuture<Void> second = DurableJobsMarkerTests.this.marker.store();
			DurableJobsMarkerTests.this.topic.answer();
			read(0);
			DurableJobsMarkerTests.this.marker.onUpToDate(1);
			assertThat(second).isCompleted();
		}

		@Test
		void appendsOnceForAllThatWait() {
			DurableJobsMarkerTests.this.marker.store();
			DurableJobsMarkerTests.this.marker.store();
			assertThat(DurableJobsMarkerTests.this.topic.appends).hasSize(1);
		}

	}

	@Nested
	class Journals {

		private final List<String> appendedKeys = new ArrayList<>();

		private final JobJournal journal = new JobJournal(DurableJobsMarkerTests.this.eventLoop, new RecordingJobLog(),
				"d1", 0, 16, DurableJobsMarkerTests.this.marker::store, new IgnoringListener());

		@BeforeEach
		void open() {
			this.journal.open();
			play();
		}

		private void play() {
			DurableJobsMarkerTests.this.time.run(20);
		}

		private void put(String key) {
			this.journal.put(key, () -> VALUE, () -> {
			});
			play();
		}

		/** The next owner took over in between, and nothing told it of the job. */
		@Test
		void appendNoJobBeforeTheMarkerIsRead() {
			put("d/j1");
			DurableJobsMarkerTests.this.topic.answer();
			play();
			assertThat(this.appendedKeys).isEmpty();
			read(3);
			DurableJobsMarkerTests.this.marker.onUpToDate(4);
			play();
			assertThat(this.appendedKeys).containsExactly("d/j1");
		}

		@Test
		void appendNothingIfTheirPoolIsLostMeanwhile() {
			put("d/j1");
			this.journal.close();
			read(3);
			DurableJobsMarkerTests.this.marker.onUpToDate(4);
			play();
			assertThat(this.appendedKeys).isEmpty();
		}

		@Test
		void countAsFailingWhileTheMarkerIsRefused() {
			put("d/j1");
			DurableJobsMarkerTests.this.topic.refuse();
			play();
			assertThat(this.journal.isWritable()).isFalse();
			DurableJobsMarkerTests.this.time.run(200);
			read(3);
			DurableJobsMarkerTests.this.marker.onUpToDate(4);
			play();
			assertThat(this.journal.isWritable()).isTrue();
			assertThat(this.appendedKeys).containsExactly("d/j1");
		}

		/** A site that has only interactive jobs must not be marked. */
		@Test
		void storeNoMarkerForOtherRecords() {
			put("run-numbers");
			this.journal.confirmOwnership(() -> {
			});
			play();
			assertThat(DurableJobsMarkerTests.this.topic.appends).isEmpty();
			assertThat(this.appendedKeys).contains("run-numbers");
		}

		private final class RecordingJobLog implements JobLog {

			@Override
			public int partitionCount() {
				return 1;
			}

			@Override
			public CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey) {
				return CompletableFuture.completedFuture(new LogPage(List.of(), 0, null));
			}

			@Override
			public CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence,
					List<NewRecord> records) {
				records.forEach((each) -> Journals.this.appendedKeys.add(each.key()));
				return CompletableFuture.completedFuture(null);
			}

		}

	}

	private static final class IgnoringListener implements JobJournal.Listener {

		@Override
		public void loaded(String pool, List<KeyedRecord> records) {
			// There are no records.
		}

		@Override
		public void fenced(String pool) {
			// No other owner appends.
		}

	}

	/**
	 * A members' topic whose appends wait until the test answers them.
	 */
	private static final class ManualTopic implements SharedLog {

		private final List<CompletableFuture<Long>> appends = new ArrayList<>();

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic sharedTopic, String afterKey) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic sharedTopic, long fromOffset, long waitMillis) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic sharedTopic, List<NewRecord> records,
				OptionalLong expectedEnd) {
			CompletableFuture<Long> answer = new CompletableFuture<>();
			this.appends.add(answer);
			return answer;
		}

		private void answer() {
			this.appends.forEach((append) -> append.complete(0L));
		}

		private void refuse() {
			this.appends.forEach((append) -> append
				.completeExceptionally(new CallException(CallException.Code.REFUSED, 503, "The log is busy")));
		}

	}

}
