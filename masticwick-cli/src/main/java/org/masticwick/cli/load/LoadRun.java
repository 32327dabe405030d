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
 * Sends the jobs of a plan at their times, whether or not earlier ones were answered.
 */
final class LoadRun {

	private static final Logger logger = LoggerFactory.getLogger(LoadRun.class);

	private static final int TICKET_BLOCK_COUNT = 200;

	private static final int SENDER_COUNT = 8;

	private static final long LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long SPIN_NANOS = TimeUnit.MICROSECONDS.toNanos(60);

	private final LoadOptions options;

	private final Schedule schedule;

	private final JobClient client;

	private final SiteProbe probe;

	private final String service;

	private final LoadRecorder recorder;

	private final ExecutorService senders = Executors.newFixedThreadPool(SENDER_COUNT);

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final Map<String, PlannedJob> running = new ConcurrentHashMap<>();

	private final Set<String> cancelled = ConcurrentHashMap.newKeySet();

	private final Random cancelRandom;

	private long startNanos;

	LoadRun(LoadOptions options, List<HttpUrl> hosts, SiteProbe probe) {
		this.options = options;
		this.schedule = Schedule.plan(options);
		this.service = Mix.byName(options.mix()).service();
		this.probe = probe;
		this.recorder = new LoadRecorder(options);
		this.cancelRandom = new Random(options.seed());
		JobClientOptions clientOptions = JobClientOptions.DEFAULT.withTicketBlockCount(TICKET_BLOCK_COUNT)
			.withRefusalRetryCountMax(0)
			.withSeed(options.seed());
		this.client = new JobClient(hosts, clientOptions);
	}

	/**
	 * Runs the plan and waits for all answers.
	 * @param faults the faults to set meanwhile
	 * @return the report
	 */
	LoadReport run(List<FaultPlan> faults) {
		SiteCounters before = this.probe.counters();
		try {
			fetchFirstTickets();
			this.startNanos = System.nanoTime() + LEAD_NANOS;
			List<CompletableFuture<Void>> ends = new ArrayList<>();
			faults.forEach((fault) -> ends.add(schedule(fault)));
			scheduleCancelWaves();
			this.schedule.jobs().forEach((job) -> ends.add(sendAtItsTime(job)));
			ends.forEach(CompletableFuture::join);
			return report(before);
		}
		finally {
			this.timer.shutdownNow();
			this.senders.shutdownNow();
			this.client.close();
		}
	}

	private LoadReport report(SiteCounters before) {
		Map<String, Double> counts = this.probe.counters().since(before);
		long startedTaskCount = 0;
		if (this.probe.seesWorkers()) {
			StartAudit audit = new StartAudit(this.probe.starts());
			this.recorder.check(audit);
			startedTaskCount = audit.startedTaskCount(this.recorder.taskCounts());
		}
		return LoadReport.of(this.options, this.schedule, this.recorder, this.client.counters(), counts,
				startedTaskCount);
	}

	private void fetchFirstTickets() {
		for (int host = 0; host < this.client.hosts().size(); host++) {
			this.client.ticketOf(host).exceptionally((error) -> null).join();
		}
	}

	private CompletableFuture<Void> sendAtItsTime(PlannedJob job) {
		await(this.startNanos + job.offsetNanos());
		return CompletableFuture.supplyAsync(() -> send(job), this.senders).thenCompose((answered) -> answered);
	}

	private CompletableFuture<Void> send(PlannedJob job) {
		JobRequest request = job.toRequest(this.options, this.service);
		this.recorder.addSendLag(job, System.nanoTime() - this.startNanos);
		int host = (int) (job.place() * this.client.hosts().size());
		return this.client.ticketFrom(host)
			.handle((ticket, error) -> (error != null) ? unsent(job, error) : submit(job, request, ticket))
			.thenCompose((recorded) -> recorded);
	}

	private CompletableFuture<Void> unsent(PlannedJob job, Throwable error) {
		logger.debug("job {} was not sent: {}", job.index(), error.getMessage());
		this.recorder.addUnsent(job);
		return CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> submit(PlannedJob job, JobRequest request, Ticket ticket) {
		this.recorder.addTicket(ticket.text(), job);
		this.running.put(ticket.text(), job);
		CompletableFuture<JobAnswer> first = this.client.submit(ticket, request);
		CompletableFuture<Void> recorded = first.thenAccept((answer) -> {
			long nowNanos = System.nanoTime() - this.startNanos;
			this.running.remove(ticket.text());
			this.recorder.add(job, request, answer, this.cancelled.contains(ticket.text()), nowNanos);
		});
		if (job.resubmitDelayMillis() < 0) {
			return recorded;
		}
		return recorded.thenCombine(resubmit(job, request, ticket), (ignored, second) -> {
			this.recorder.compare(first.join(), second);
			return null;
		});
	}

	private CompletableFuture<JobAnswer> resubmit(PlannedJob job, JobRequest request, Ticket ticket) {
		List<HttpUrl> hosts = this.client.hosts();
		HttpUrl other = hosts.get((hosts.indexOf(ticket.host()) + 1) % hosts.size());
		CompletableFuture<JobAnswer> second = new CompletableFuture<>();
		this.timer.schedule(() -> this.client.submit(ticket, other, request).thenAccept(second::complete),
				job.resubmitDelayMillis(), TimeUnit.MILLISECONDS);
		return second;
	}

	private CompletableFuture<Void> schedule(FaultPlan fault) {
		CompletableFuture<Void> set = new CompletableFuture<>();
		long delayNanos = this.startNanos - System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.atMillis());
		this.timer.schedule(() -> setFault(fault, set), delayNanos, TimeUnit.NANOSECONDS);
		return set;
	}

	private void setFault(FaultPlan fault, CompletableFuture<Void> set) {
		try {
			this.probe.setFault(fault.admin(), fault.fault());
			set.complete(null);
		}
		catch (RuntimeException ex) {
			set.completeExceptionally(ex);
		}
	}

	private void scheduleCancelWaves() {
		long interval = this.options.cancelWaveIntervalMillis();
		if (interval > 0) {
			this.timer.scheduleAtFixedRate(this::cancelWave, interval, interval, TimeUnit.MILLISECONDS);
		}
	}

	private void cancelWave() {
		List<String> wave = this.running.keySet()
			.stream()
			.filter((ticket) -> this.cancelRandom.nextDouble() < this.options.cancelWaveFraction())
			.toList();
		this.cancelled.addAll(wave);
		wave.forEach(this.client::cancel);
	}

	private static void await(long nanos) {
		long left = nanos - System.nanoTime();
		while (left > 0) {
			if (left > SPIN_NANOS) {
				LockSupport.parkNanos(left - SPIN_NANOS);
			}
			else {
				Thread.onSpinWait();
			}
			left = nanos - System.nanoTime();
		}
	}

}
