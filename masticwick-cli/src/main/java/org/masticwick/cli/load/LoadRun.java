package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import okhttp3.HttpUrl;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.cli.request.JobAnswer;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;
import org.masticwick.cli.request.Ticket;
import org.masticwick.core.request.JobRequest;

/**
 * Sends the jobs of a schedule at their planned times, regardless of outstanding answers
 * (open loop).
 */
final class LoadRun {

	private static final Logger logger = LoggerFactory.getLogger(LoadRun.class);

	private static final int TICKET_BLOCK_COUNT = 200;

	private static final int SENDER_COUNT = 8;

	private static final long START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long SPIN_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(60);

	private final LoadOptions options;

	private final Schedule schedule;

	private final JobClient client;

	private final SiteProbe probe;

	private final String service;

	private final LoadRecorder recorder;

	private final ExecutorService senders = Executors.newFixedThreadPool(SENDER_COUNT);

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final Map<String, PlannedJob> runningJobs = new ConcurrentHashMap<>();

	private final Set<String> cancelledTickets = ConcurrentHashMap.newKeySet();

	private final Random cancelRandom;

	private long startNanos;

	LoadRun(LoadOptions options, List<HttpUrl> hosts, SiteProbe probe) {
		this.options = options;
		this.schedule = Schedule.generate(options);
		this.service = WorkloadMix.byName(options.mix()).service();
		this.probe = probe;
		this.recorder = new LoadRecorder(options);
		this.cancelRandom = new Random(options.seed());
		JobClientOptions clientOptions = JobClientOptions.DEFAULT.withTicketBlockCount(TICKET_BLOCK_COUNT)
			.withRefusalRetryCountMax(0)
			.withSeed(options.seed());
		this.client = new JobClient(hosts, clientOptions);
	}

	/**
	 * Sends all jobs and waits for all answers.
	 * @param faults the faults to inject during the run
	 * @return the report
	 */
	LoadReport run(List<PlannedFault> faults) {
		SiteCounters baseline = this.probe.readCounters();
		try {
			fetchFirstTickets();
			this.startNanos = System.nanoTime() + START_DELAY_NANOS;
			List<CompletableFuture<Void>> completions = new ArrayList<>();
			faults.forEach((fault) -> completions.add(scheduleFault(fault)));
			scheduleCancelWaves();
			this.schedule.jobs().forEach((job) -> completions.add(sendAtArrivalTime(job)));
			completions.forEach(CompletableFuture::join);
			return report(baseline);
		}
		finally {
			this.timer.shutdownNow();
			this.senders.shutdownNow();
			this.client.close();
		}
	}

	private LoadReport report(SiteCounters baseline) {
		Map<String, Double> siteCounts = this.probe.readCounters().increaseSince(baseline);
		long startedTaskCount = 0;
		if (this.probe.hasWorkerAdmins()) {
			StartAudit audit = new StartAudit(this.probe.readStartCounts());
			this.recorder.checkStarts(audit);
			startedTaskCount = audit.startedTaskCount(this.recorder.taskCountsByTicket());
		}
		return LoadReport.of(this.options, this.schedule, this.recorder, this.client.counters(), siteCounts,
				startedTaskCount);
	}

	private void fetchFirstTickets() {
		for (int hostIndex = 0; hostIndex < this.client.hosts().size(); hostIndex++) {
			this.client.ticketOf(hostIndex).exceptionally((error) -> null).join();
		}
	}

	private CompletableFuture<Void> sendAtArrivalTime(PlannedJob job) {
		waitUntil(this.startNanos + job.offsetNanos());
		return CompletableFuture.supplyAsync(() -> send(job), this.senders).thenCompose((completion) -> completion);
	}

	private CompletableFuture<Void> send(PlannedJob job) {
		JobRequest request = job.toRequest(this.options, this.service);
		this.recorder.recordSendLag(job, System.nanoTime() - this.startNanos);
		int hostIndex = (int) (job.hostFraction() * this.client.hosts().size());
		return this.client.ticketFrom(hostIndex)
			.handle((ticket, error) -> (error != null) ? recordUnsent(job, error) : submit(job, request, ticket))
			.thenCompose((completion) -> completion);
	}

	private CompletableFuture<Void> recordUnsent(PlannedJob job, Throwable error) {
		logger.debug("job {} was not sent: {}", job.index(), error.getMessage());
		this.recorder.recordUnsent(job);
		return CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> submit(PlannedJob job, JobRequest request, Ticket ticket) {
		this.recorder.recordTicket(ticket.text(), job);
		this.runningJobs.put(ticket.text(), job);
		CompletableFuture<JobAnswer> firstAnswer = this.client.submit(ticket, request);
		CompletableFuture<Void> recorded = firstAnswer.thenAccept((answer) -> {
			long nowNanos = System.nanoTime() - this.startNanos;
			this.runningJobs.remove(ticket.text());
			this.recorder.recordAnswer(job, request, answer, this.cancelledTickets.contains(ticket.text()), nowNanos);
		});
		if (job.resubmitDelayMillis() < 0) {
			return recorded;
		}
		return recorded.thenCombine(resubmit(job, request, ticket), (ignored, secondAnswer) -> {
			this.recorder.compareAnswers(firstAnswer.join(), secondAnswer);
			return null;
		});
	}

	private CompletableFuture<JobAnswer> resubmit(PlannedJob job, JobRequest request, Ticket ticket) {
		List<HttpUrl> hosts = this.client.hosts();
		HttpUrl otherHost = hosts.get((hosts.indexOf(ticket.host()) + 1) % hosts.size());
		CompletableFuture<JobAnswer> secondAnswer = new CompletableFuture<>();
		this.timer.schedule(() -> this.client.submit(ticket, otherHost, request).thenAccept(secondAnswer::complete),
				job.resubmitDelayMillis(), TimeUnit.MILLISECONDS);
		return secondAnswer;
	}

	private CompletableFuture<Void> scheduleFault(PlannedFault fault) {
		CompletableFuture<Void> faultApplied = new CompletableFuture<>();
		long delayNanos = this.startNanos - System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.offsetMillis());
		this.timer.schedule(() -> setFault(fault, faultApplied), delayNanos, TimeUnit.NANOSECONDS);
		return faultApplied;
	}

	private void setFault(PlannedFault fault, CompletableFuture<Void> faultApplied) {
		try {
			this.probe.setFault(fault.adminIndex(), fault.fault());
			faultApplied.complete(null);
		}
		catch (RuntimeException ex) {
			faultApplied.completeExceptionally(ex);
		}
	}

	private void scheduleCancelWaves() {
		long intervalMillis = this.options.cancelWaveIntervalMillis();
		if (intervalMillis > 0) {
			this.timer.scheduleAtFixedRate(this::cancelRandomJobs, intervalMillis, intervalMillis,
					TimeUnit.MILLISECONDS);
		}
	}

	private void cancelRandomJobs() {
		List<String> selectedTickets = this.runningJobs.keySet()
			.stream()
			.filter((ticket) -> this.cancelRandom.nextDouble() < this.options.cancelWaveFraction())
			.toList();
		this.cancelledTickets.addAll(selectedTickets);
		selectedTickets.forEach(this.client::cancel);
	}

	private static void waitUntil(long targetNanos) {
		long remainingNanos = targetNanos - System.nanoTime();
		while (remainingNanos > 0) {
			if (remainingNanos > SPIN_WAIT_NANOS) {
				LockSupport.parkNanos(remainingNanos - SPIN_WAIT_NANOS);
			}
			else {
				Thread.onSpinWait();
			}
			remainingNanos = targetNanos - System.nanoTime();
		}
	}

}
