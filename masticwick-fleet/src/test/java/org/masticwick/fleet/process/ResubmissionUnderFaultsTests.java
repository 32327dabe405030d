package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests with random faults that no task runs twice at a time while callers submit jobs
 * again whose answer is unknown to them. Each failure domain has its own owner. The
 * property {@code faults.seeds} sets the number of seeds, {@code faults.first} the first
 * one; a seed fixes what is drawn, not how the hosts interleave.
 */
class ResubmissionUnderFaultsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final long RUN_MILLIS = 1_600;

	private static final long RESUBMISSION_MILLIS = 1_300;

	private static final long FAULTS_MILLIS = 9_000;

	private static final int CALLER_COUNT = 6;

	private static final int MAX_SUBMISSIONS = 3;

	private static final List<String> ENDPOINTS = List.of("e1", "e2", "e3", "e4");

	static Stream<Long> seeds() {
		long first = Long.getLong("faults.first", 1);
		return LongStream.range(first, first + Long.getLong("faults.seeds", 2)).boxed();
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void noTaskRunsTwiceAtATime(long seed) {
		System.out.println("seed " + seed);
		try (Play play = new Play(seed)) {
			play.start();
			play.run();
			assertThat(play.site.endpoints().concurrentlyRunTasks()).as("seed " + seed).isEmpty();
			assertThat(play.answerCount.get()).as("answered jobs").isPositive();
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Play implements AutoCloseable {

		private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

		private final Random random;

		private final AtomicLong jobCount = new AtomicLong();

		private final AtomicInteger answerCount = new AtomicInteger();

		private volatile boolean ended;

		private volatile List<String> hostNames = List.of("h1", "h2", "h3", "h4");

		private int startedCount = 4;

		private Play(long seed) {
			this.random = new Random(seed);
		}

		private void start() {
			IntStream.range(0, ENDPOINTS.size())
				.forEach((number) -> this.site.listEndpoint(ENDPOINTS.get(number), domain(number), 2_000));
			IntStream.range(0, this.hostNames.size())
				.forEach((number) -> this.site.start(this.hostNames.get(number), domain(number),
						FleetSite.WEAK_PROCESSOR_MILLICORES));
			this.hostNames.forEach(this.site::awaitReady);
		}

		private static String domain(int number) {
			return "d" + (1 + number % 2);
		}

		private void run() {
			List<CompletableFuture<Void>> callers = IntStream.range(0, CALLER_COUNT)
				.mapToObj((number) -> new Random(this.random.nextLong()))
				.map((callerRandom) -> CompletableFuture.runAsync(() -> submitJobs(callerRandom)))
				.toList();
			long endMillis = Clock.nowMillis() + FAULTS_MILLIS;
			while (Clock.nowMillis() < endMillis) {
				pause(100 + this.random.nextInt(400));
				causeFault();
			}
			this.site.endpoints().decideFates((endpointId) -> InMemoryEndpoints.CommandFate.NORMAL);
			this.ended = true;
			callers.forEach((caller) -> caller.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join());
		}

		private void submitJobs(Random callerRandom) {
			while (!this.ended) {
				submitUntilAnswered("j" + this.jobCount.incrementAndGet(), callerRandom);
			}
		}

		private void submitUntilAnswered(String jobId, Random callerRandom) {
			for (int submission = 0; submission < MAX_SUBMISSIONS && !this.ended; submission++) {
				if (isAnswered(jobId, callerRandom)) {
					this.answerCount.incrementAndGet();
					return;
				}
				pause(RESUBMISSION_MILLIS);
			}
		}

		private boolean isAnswered(String jobId, Random callerRandom) {
			List<String> names = this.hostNames;
			String hostName = names.get(callerRandom.nextInt(names.size()));
			if (callerRandom.nextInt(4) == 0) {
				this.site.submitAndDisconnect(hostName, jobId, 100 + callerRandom.nextInt(1_500)).join();
				return false;
			}
			HttpReply reply = this.site.submit(hostName, jobId, 1).exceptionally((error) -> null).join();
			return reply != null && reply.status() != 502;
		}

		private void causeFault() {
			String hostName = this.hostNames.get(this.random.nextInt(this.hostNames.size()));
			UnreliableTransport transport = this.site.transport(hostName);
			switch (this.random.nextInt(7)) {
				case 0 -> transport.losePendingAnswers();
				case 1 -> transport.drop((message) -> !(message instanceof PeerMessage.HostReport
						|| message instanceof PeerMessage.SubmitJob));
				case 2 -> transport.drop((message) -> false);
				case 3 -> this.site.log().delayAppends(hostName, this.random.nextInt(400));
				case 4 -> replace(hostName);
				case 5 -> spoilCommands();
				default -> this.site.endpoints().decideFates((endpointId) -> InMemoryEndpoints.CommandFate.NORMAL);
			}
		}

		private void spoilCommands() {
			String spoilt = ENDPOINTS.get(this.random.nextInt(ENDPOINTS.size()));
			Random fateRandom = new Random(this.random.nextLong());
			this.site.endpoints().decideFates((endpointId) -> {
				synchronized (fateRandom) {
					return (endpointId.equals(spoilt) && fateRandom.nextInt(2) == 0)
							? new InMemoryEndpoints.CommandFate(fateRandom.nextInt(2_500), fateRandom.nextBoolean())
							: InMemoryEndpoints.CommandFate.NORMAL;
				}
			});
		}

		// A new host takes the place of one that is killed, or stopped while it has time
		// to
		// hand its pools over.
		private void replace(String hostName) {
			int position = this.hostNames.indexOf(hostName);
			this.startedCount++;
			String newName = "h" + this.startedCount;
			this.site.start(newName, domain(position), FleetSite.WEAK_PROCESSOR_MILLICORES);
			this.hostNames = this.hostNames.stream().map((name) -> name.equals(hostName) ? newName : name).toList();
			if (this.random.nextBoolean()) {
				this.site.kill(hostName);
			}
			else {
				this.site.stopGracefully(hostName);
			}
		}

		@Override
		public void close() {
			this.ended = true;
			this.site.close();
		}

	}

}
