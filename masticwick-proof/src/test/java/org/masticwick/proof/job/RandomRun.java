package org.masticwick.proof.job;

import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;

/**
 * Submits and resubmits jobs to random hosts while random faults are injected. The seed
 * determines the sequence of random choices; their interleaving depends on the timing of
 * the processes.
 */
final class RandomRun {

	private static final int CALLER_COUNT = 8;

	private static final int MAX_ATTEMPT_COUNT = 30;

	private static final List<Map<String, Object>> WORKER_FAULTS = List.of(Map.of("lose_replies", 5),
			Map.of("double_replies", 10), Map.of("late_reply_ms", 400), Map.of("late_reply_ms", 0),
			Map.of("truncate_replies", 5), Map.of("overlong_replies", 5), Map.of("wrong_task_id", 5),
			Map.of("refuse_all_full", true, "double_replies", 10), Map.of("refuse_all_full", false));

	private final JobSet jobs;

	private final long seed;

	private final Site site = World.site();

	private final AtomicInteger sequence = new AtomicInteger();

	private volatile boolean faultsStopped;

	RandomRun(JobSet jobs, long seed) {
		this.jobs = jobs;
		this.seed = seed;
	}

	/**
	 * Injects faults and submits jobs, resets refusals, delays and lost replies of the
	 * workers, then resubmits each job until its final outcome and once more.
	 * @param seconds the duration of the faults and of new jobs
	 */
	void run(int seconds) {
		List<CompletableFuture<ApiClient.Reply>> callers = IntStream.range(0, CALLER_COUNT)
			.mapToObj((caller) -> this.jobs.sendAsync(() -> submitJobs(new Random(this.seed + caller + 1))))
			.toList();
		injectFaults(new Random(this.seed), seconds);
		this.faultsStopped = true;
		callers.forEach(CompletableFuture::join);
		Random random = new Random(this.seed);
		this.jobs.sendAll(this.jobs.jobs(), (job) -> submitUntilFinal(job, random));
		System.out.println("Random run: jobs=" + this.jobs.jobs().size() + " complete=" + countByStatus("200")
				+ " failed=" + countByStatus("502") + " refused=" + countByStatus("503"));
	}

	private long countByStatus(String status) {
		return this.jobs.jobs()
			.stream()
			.filter((job) -> job.finalReply() != null && Integer.toString(job.finalReply().status()).equals(status))
			.count();
	}

	private ApiClient.Reply submitJobs(Random random) {
		JobCaller caller = new JobCaller(this.site.client());
		while (!this.faultsStopped) {
			EntryHostProcess issuer = randomRunningHost(random);
			JobCaller.Shape shape = new JobCaller.Shape(1 + random.nextInt(5), 20 + random.nextInt(300), 15_000);
			try {
				String ticket = caller.fetchTickets(issuer, 1).get(0);
				JobSet.BulkJob job = new JobSet.BulkJob("job" + this.sequence.incrementAndGet(), ticket, shape);
				this.jobs.addAll(List.of(job));
				CompletableFuture<ApiClient.Reply> duplicateReply = this.jobs
					.sendAsync(() -> submit(job, randomRunningHost(random)));
				job.addReply(submit(job, issuer));
				job.addReply(duplicateReply.join());
			}
			catch (UncheckedIOException ex) {
				// The host issued no ticket; the next iteration tries a random host.
			}
		}
		return null;
	}

	private ApiClient.Reply submitUntilFinal(JobSet.BulkJob job, Random random) {
		for (int attempt = 0; attempt < MAX_ATTEMPT_COUNT && job.finalReply() == null; attempt++) {
			job.addReply(submit(job, randomRunningHost(random)));
		}
		return submit(job, randomRunningHost(random));
	}

	private ApiClient.Reply submit(JobSet.BulkJob job, EntryHostProcess host) {
		try {
			return this.site.client()
				.send("PUT", host.api(), "/v1/jobs/" + job.ticket() + "?wait_ms=3000", job.body(), Map.of());
		}
		catch (UncheckedIOException ex) {
			return null;
		}
	}

	private EntryHostProcess randomRunningHost(Random random) {
		List<EntryHostProcess> runningHosts = hosts().filter((host) -> host.process().alive()).toList();
		return runningHosts.get(random.nextInt(runningHosts.size()));
	}

	private Stream<EntryHostProcess> hosts() {
		return this.site.domains().stream().flatMap((domain) -> this.site.entryHosts(domain).stream());
	}

	private void injectFaults(Random random, int seconds) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() - endNanos < 0) {
			pause(200 + random.nextInt(400));
			String domain = this.site.domains().get(random.nextInt(this.site.domains().size()));
			switch (random.nextInt(8)) {
				case 0 -> kill(domain, random);
				case 1, 2 -> freeze(domain, random);
				case 3 -> this.site.workers(domain)
					.addresses()
					.forEach((worker) -> this.site.workerRelay(worker).silenceExisting());
				default -> this.site.workers(domain)
					.fault(random.nextInt(2), WORKER_FAULTS.get(random.nextInt(WORKER_FAULTS.size())));
			}
		}
		this.site.domains()
			.forEach((domain) -> this.site.workers(domain)
				.faultAll(Map.of("refuse_all_full", false, "late_reply_ms", 0, "lose_replies", 0)));
	}

	private void kill(String domain, Random random) {
		List<EntryHostProcess> runningHosts = this.site.entryHosts(domain)
			.stream()
			.filter((host) -> host.process().alive())
			.toList();
		System.out.println("Random run: kill in " + domain);
		this.site.startEntryHost(domain);
		runningHosts.get(random.nextInt(runningHosts.size())).process().kill();
	}

	private void freeze(String domain, Random random) {
		List<EntryHostProcess> runningHosts = this.site.entryHosts(domain)
			.stream()
			.filter((host) -> host.process().alive())
			.toList();
		EntryHostProcess frozen = runningHosts.get(random.nextInt(runningHosts.size()));
		int millis = 300 + random.nextInt(2500);
		System.out.println("Random run: freeze in " + domain + " for " + millis + " ms");
		frozen.process().pause();
		pause(millis);
		frozen.process().resume();
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
