package org.masticwick.daemon.request;

import java.lang.ref.WeakReference;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.Schedulers;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.process.metrics.Metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link Dispatcher}.
 */
class DispatcherTests {

	private static final HostAddress ENDPOINT = new HostAddress("127.0.0.1", 9000);

	private static final EntryHost SELF = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final SiteVersion VERSION = new SiteVersion(1,
			Map.of("s", new ServiceSpec("s", Set.of(), true, 60_000)),
			Map.of(ENDPOINT, new EndpointSpec(ENDPOINT, "hobart", "r1", "s", 8, 64, 32, 1_000, 0)), Rules.NONE);

	private final TimeSource time = TimeSource.system();

	private final Dispatcher dispatcher = new Dispatcher(scheduler(), new AnsweringClient(), () -> VERSION, this.time,
			new Metrics(), 60_000);

	private Scheduler scheduler() {
		Scheduler scheduler = Schedulers.create(SchedulerSettings.defaults(), "hobart", SELF, new Random(7));
		scheduler.updateVersion(VERSION, this.time.nanoTime());
		return scheduler;
	}

	@AfterEach
	void close() {
		this.dispatcher.close();
	}

	private WeakReference<Job> runJob() {
		JobRequest request = new JobRequest("s", "t", false, false, 600_000, List.of(new TaskSpec("k", "p", 0, 0, 0)));
		Job job = new Job(new TicketFactory(SELF, TicketKey.random(), 0).issue(1, 1).get(0), new byte[] { 1 }, request,
				this.time.nanoTime() + TimeUnit.MINUTES.toNanos(10));
		this.dispatcher.submit(job);
		assertThat(job.answer().join().status()).isEqualTo(200);
		return new WeakReference<>(job);
	}

	@Test
	void releasesAnEndedJobBeforeItsDeadline() {
		WeakReference<Job> job = runJob();
		await().untilAsserted(() -> {
			System.gc();
			assertThat(job.get()).isNull();
		});
	}

	/**
	 * Replies to each posted task at once with a result.
	 */
	private static final class AnsweringClient implements EndpointClient {

		@Override
		public PendingPost post(TaskPost post) {
			CompletableFuture<PostReply> reply = CompletableFuture
				.completedFuture(new PostReply.Succeeded("r", PostReply.UNKNOWN_COUNT));
			return new PendingPost() {

				@Override
				public CompletableFuture<PostReply> reply() {
					return reply;
				}

				@Override
				public boolean withdraw() {
					return false;
				}

				@Override
				public void abandon() {
					reply.cancel(false);
				}

			};
		}

		@Override
		public CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task) {
			return CompletableFuture.completedFuture(new LookupReply(LookupState.UNKNOWN, null));
		}

		@Override
		public void cancel(HostAddress endpoint, List<TaskId> tasks) {
			throw new AssertionError("nothing to cancel: " + tasks);
		}

		@Override
		public void close() {
		}

	}

}
