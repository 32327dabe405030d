package org.masticwick.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.process.metrics.Metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link CancelBatch}.
 */
class CancelBatchTests {

	private static final int TASK_COUNT = 2000;

	private final RecordingClient client = new RecordingClient();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final CancelBatch batch = new CancelBatch(this.client, this.timer, new Metrics());

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	@Test
	void sendsOneMessagePerEndpointForABurst() {
		CompletableFuture<Void> timerBlock = new CompletableFuture<>();
		this.timer.execute(timerBlock::join);
		List<HostAddress> endpoints = List.of(new HostAddress("127.0.0.1", 1), new HostAddress("127.0.0.1", 2));
		IntStream.range(0, TASK_COUNT)
			.forEach((index) -> this.batch.add(endpoints.get(index % 2), new TaskId("t" + index, 0)));
		timerBlock.complete(null);
		await().until(() -> this.client.messages.size() == endpoints.size());
		assertThat(this.client.messages).allSatisfy((tasks) -> assertThat(tasks).hasSize(TASK_COUNT / 2));
	}

	@Test
	void sendsAnotherMessageForLaterCancellations() {
		HostAddress endpoint = new HostAddress("127.0.0.1", 1);
		this.batch.add(endpoint, new TaskId("first", 0));
		await().until(() -> this.client.messages.size() == 1);
		this.batch.add(endpoint, new TaskId("second", 0));
		await().until(() -> this.client.messages.size() == 2);
	}

	/**
	 * Records the cancel messages.
	 */
	private static final class RecordingClient implements EndpointClient {

		private final List<List<TaskId>> messages = new CopyOnWriteArrayList<>();

		@Override
		public PendingPost post(TaskPost post) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void cancel(HostAddress endpoint, List<TaskId> tasks) {
			this.messages.add(new ArrayList<>(tasks));
		}

		@Override
		public void close() {
		}

	}

}
