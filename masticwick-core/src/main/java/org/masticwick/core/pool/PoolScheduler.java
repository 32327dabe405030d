package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides for the owner of a pool which job is taken, which task starts where and when,
 * and which run is stopped. A task starts again only when the end of its last run is
 * certain: the endpoint listed it, lost it, or its lease has run out.
 * <p>
 * Not thread-safe: all calls come from one thread, with a time that never falls.
 */
public final class PoolScheduler {

	/** After how many jobs in a row without a place the rest has to wait. */
	private static final int MAX_JOBS_WITHOUT_PLACE = 40;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final Map<String, PooledEndpoint> endpoints = new LinkedHashMap<>();

	private final Map<String, PooledJob> jobs = new HashMap<>();

	/** Answered jobs with runs whose end is not certain yet. */
	private final Map<String, PooledJob> lingering = new HashMap<>();

	/** Jobs submitted again that wait for the end of the runs of the first submission. */
	private final Map<String, PooledJob> deferred = new HashMap<>();

	private final JobQueue queue = new JobQueue();

	private final RunTimes runTimes = new RunTimes();

	private final AdmissionRule admission = new AdmissionRule();

	private final EndpointChoice choice;

	private final RunLedger ledger;

	private long nextSequence;

	/**
	 * Creates the scheduler of a pool without endpoints.
	 * @param settings the settings
	 * @param actions carries out the decisions
	 */
	public PoolScheduler(PoolSettings settings, PoolActions actions) {
		this.settings = settings;
		this.actions = actions;
		this.choice = new EndpointChoice(settings.silenceLimitMillis());
		this.ledger = new RunLedger(settings, actions, this::runEnded);
	}

	/**
	 * Takes a job or refuses it.
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param origin who waits for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void submit(JobSpec spec, JobTerms terms, JobOrigin origin, long nowMillis) {
		PooledJob present = this.jobs.get(spec.jobId());
		if (present != null) {
			attach(present, origin);
			return;
		}
		PooledJob job = new PooledJob(spec, terms, origin, this.nextSequence++, nowMillis, this.runTimes);
		Optional<JobOutcome> refusal = refusal(job, nowMillis);
		if (refusal.isPresent()) {
			this.actions.answer(job, refusal.get());
			return;
		}
		this.jobs.put(spec.jobId(), job);
		enqueue(job, nowMillis);
		dispatch(nowMillis);
	}

	private void attach(PooledJob present, JobOrigin origin) {
		JobOrigin earlier = present.origin();
		if (!earlier.equals(origin)) {
			this.actions.answer(present, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "submitted-again"));
			present.origin(origin);
		}
	}

	private void enqueue(PooledJob job, long nowMillis) {
		PooledJob earlier = this.lingering.get(job.spec().jobId());
		if (earlier == null) {
			this.queue.add(job, nowMillis);
			return;
		}
		job.continueRunsOf(earlier);
		this.deferred.put(job.spec().jobId(), job);
	}

	private Optional<JobOutcome> refusal(PooledJob job, long nowMillis) {
		if (!couldRun(job)) {
			return Optional.of(this.admission.refuse("no-fitting-endpoint", backlogMillis()));
		}
		double waitMillis = drainMillis(this.queue.workBefore(job.latestStartMillis(), nowMillis));
		return this.admission.refusal(job, waitMillis, backlogMillis(), nowMillis);
	}

	private boolean couldRun(PooledJob job) {
		return job.allTasks()
			.stream()
			.allMatch((task) -> this.endpoints.values()
				.stream()
				.anyMatch((endpoint) -> this.choice.couldRun(task, endpoint)));
	}

	private double backlogMillis() {
		return drainMillis(this.queue.work());
	}

	private double drainMillis(double work) {
		double usable = totalCpuMillicores() * this.settings.usableShare();
		return (usable > 0) ? work / usable : 0;
	}

	/**
	 * Gives up a job whose caller has left.
	 * @param jobId the job
	 * @param origin who waited for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void cancel(String jobId, JobOrigin origin, long nowMillis) {
		PooledJob job = this.jobs.get(jobId);
		if (job != null && job.origin().equals(origin)) {
			finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "caller-left"), nowMillis);
			dispatch(nowMillis);
		}
	}

	/**
	 * Gives up all jobs of an entry host that is not heard any more.
	 * @param host the name of the host
	 * @param nowMillis the time in milliseconds
	 */
	public void originLost(String host, long nowMillis) {
		List<PooledJob> lost = this.jobs.values().stream().filter((job) -> job.origin().host().equals(host)).toList();
		lost.forEach((job) -> finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "entry-host-lost"), nowMillis));
		dispatch(nowMillis);
	}

	/**
	 * Gives up all jobs, as the pool has another owner.
	 * @param nowMillis the time in milliseconds
	 */
	public void abandon(long nowMillis) {
		List.copyOf(this.jobs.values()).forEach((job) -> {
			JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
			finish(job, new JobOutcome(kind, 0, "owner-changed"), nowMillis);
		});
	}

	/**
	 * Takes note of an entry of the list of endpoints.
	 * @param entry the entry
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointListed(EndpointEntry entry, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new PooledEndpoint(entry));
		endpoint.entry(entry);
		this.ledger.noteBirth(endpoint, entry.bornEpochMillis(), nowMillis);
	}

	/**
	 * Takes note that an endpoint is not listed any more; it gets no new tasks.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointUnlisted(String endpointId, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.get(endpointId);
		if (endpoint == null) {
			return;
		}
		endpoint.unlist();
		if (endpoint.placementCount() == 0) {
			this.endpoints.remove(endpointId);
		}
	}

	/**
	 * Takes note that another owner orders an endpoint: what runs there is lost to this
	 * one.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointRevoked(String endpointId, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.remove(endpointId);
		if (endpoint == null) {
			return;
		}
		endpoint.placements().forEach((placement) -> {
			endpoint.remove(placement);
			placement.task().placement(null);
			PooledJob job = placement.task().job();
			job.removePlacement();
			if (job.isFinished()) {
				release(job, nowMillis);
			}
			else {
				finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-of-another-owner"), nowMillis);
			}
		});
	}

	/**
	 * Returns all that the next owner needs to go on.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints and the jobs that are not answered
	 */
	public PoolTransfer transfer(long nowMillis) {
		return new PoolTransfer(this.endpoints.values().stream().map(PooledEndpoint::transfer).toList(),
				this.jobs.values().stream().map((job) -> job.transfer(nowMillis)).toList());
	}

	/**
	 * Goes on with the jobs of another owner, whose endpoints are listed already.
	 * @param transfers the jobs
	 * @param nowMillis the time in milliseconds
	 */
	public void adopt(List<JobTransfer> transfers, long nowMillis) {
		transfers.stream()
			.filter((transfer) -> !this.jobs.containsKey(transfer.spec().jobId()))
			.forEach((transfer) -> adopt(transfer, nowMillis));
		dispatch(nowMillis);
	}

	private void adopt(JobTransfer transfer, long nowMillis) {
		PooledJob job = new PooledJob(transfer.spec(), transfer.terms(), transfer.origin(), this.nextSequence++,
				nowMillis - transfer.ageMillis(), this.runTimes);
		this.jobs.put(transfer.spec().jobId(), job);
		Map<TaskId, PooledTask> tasks = new HashMap<>();
		job.allTasks().forEach((task) -> tasks.put(task.id(), task));
		transfer.tasks().forEach((state) -> adopt(job, tasks.get(state.task()), state, nowMillis));
		if (!job.ready().isEmpty()) {
			this.queue.add(job, nowMillis);
		}
	}

	private void adopt(PooledJob job, PooledTask task, TaskTransfer state, long nowMillis) {
		task.adopt(state);
		if (state.runCount() > 0) {
			job.markStarted();
		}
		PooledEndpoint endpoint = this.endpoints.get(state.endpointId());
		if (state.done()) {
			job.ready().remove(task);
			job.taskDone(task);
		}
		else if (endpoint != null) {
			job.ready().remove(task);
			long orderedMillis = nowMillis - state.orderedAgoMillis();
			Placement placement = place(task, task.currentRun(), endpoint, orderedMillis);
			if (state.accepted()) {
				placement.accept(orderedMillis);
			}
		}
	}

	/**
	 * Takes note that an endpoint accepted a start.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void startAccepted(String endpointId, TaskRun run, long nowMillis) {
		find(endpointId, run).ifPresent((placement) -> placement.accept(nowMillis));
	}

	/**
	 * Takes note that an endpoint refused a start, which has not happened.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param refusal why
	 * @param nowMillis the time in milliseconds
	 */
	public void startRefused(String endpointId, TaskRun run, StartRefusal refusal, long nowMillis) {
		find(endpointId, run).ifPresent((placement) -> {
			this.ledger.startRefused(placement, refusal, nowMillis);
			dispatch(nowMillis);
		});
	}

	/**
	 * Takes note that a start has no answer, so that it may happen at any time.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void startUnanswered(String endpointId, TaskRun run, long nowMillis) {
		find(endpointId, run).filter((placement) -> !placement.isAccepted())
			.ifPresent((placement) -> this.ledger.stop(placement, "start-unanswered", nowMillis));
	}

	/**
	 * Takes note that an endpoint has acknowledged a stop.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void stopConfirmed(String endpointId, TaskRun run, long nowMillis) {
		find(endpointId, run).ifPresent((placement) -> placement.stopConfirmed(nowMillis));
	}

	/**
	 * Takes what an endpoint told when its lease was renewed.
	 * @param endpointId the endpoint
	 * @param report the report
	 * @param askedMillis when it was asked, in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	public void reported(String endpointId, EndpointReport report, long askedMillis, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.get(endpointId);
		if (endpoint == null) {
			return;
		}
		endpoint.heard(nowMillis);
		this.ledger.reported(endpoint, report, askedMillis, nowMillis);
		if (!endpoint.isListed() && endpoint.placementCount() == 0) {
			this.endpoints.remove(endpointId);
		}
		dispatch(nowMillis);
	}

	/**
	 * Takes note that the lease of an endpoint has certainly run out, also by its own
	 * clock.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void leaseLapsed(String endpointId, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.get(endpointId);
		if (endpoint == null) {
			return;
		}
		this.ledger.endAll(endpoint, EndKind.LAPSED, nowMillis);
		if (!endpoint.isListed()) {
			this.endpoints.remove(endpointId);
		}
		dispatch(nowMillis);
	}

	/**
	 * Does what is due by time alone: gives up jobs, stops slow runs, orders stops again,
	 * starts tasks.
	 * @param nowMillis the time in milliseconds
	 */
	public void tick(long nowMillis) {
		this.ledger.tick(this.endpoints.values(), (placement) -> hasRoomElsewhere(placement, nowMillis), nowMillis);
		giveUp(nowMillis);
		dispatch(nowMillis);
	}

	private boolean hasRoomElsewhere(Placement placement, long nowMillis) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint != placement.endpoint())
			.anyMatch((endpoint) -> this.choice.choose(placement.task(), List.of(endpoint), nowMillis).isPresent());
	}

	private void giveUp(long nowMillis) {
		List.copyOf(this.jobs.values()).forEach((job) -> {
			if (nowMillis >= job.deadlineMillis()) {
				JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
				finish(job, new JobOutcome(kind, (long) backlogMillis(), "deadline"), nowMillis);
			}
			else if (!job.isStarted() && this.admission.givesWay(job, backlogMillis(), nowMillis)) {
				finish(job, this.admission.waitedInVain(backlogMillis()), nowMillis);
			}
		});
	}

	private void dispatch(long nowMillis) {
		int withoutPlace = 0;
		for (PooledJob job : this.queue.inOrder(nowMillis)) {
			if (!place(job, nowMillis)) {
				withoutPlace++;
			}
			if (withoutPlace >= MAX_JOBS_WITHOUT_PLACE) {
				return;
			}
		}
	}

	private boolean place(PooledJob job, long nowMillis) {
		boolean placed = false;
		while (!job.ready().isEmpty()) {
			PooledTask task = job.ready().peek();
			Optional<PooledEndpoint> endpoint = this.choice.choose(task, this.endpoints.values(), nowMillis);
			if (endpoint.isEmpty()) {
				return placed;
			}
			job.ready().poll();
			start(task, endpoint.get(), nowMillis);
			placed = true;
		}
		this.queue.remove(job);
		return placed;
	}

	private void start(PooledTask task, PooledEndpoint endpoint, long nowMillis) {
		PooledJob job = task.job();
		if (!job.isStarted()) {
			this.queue.remove(job);
			job.markStarted();
			this.queue.add(job, nowMillis);
		}
		Placement placement = place(task, task.nextRun(), endpoint, nowMillis);
		this.actions.start(endpoint.entry(), placement.run(), job.spec().payload());
	}

	private Placement place(PooledTask task, TaskRun run, PooledEndpoint endpoint, long orderedMillis) {
		PooledJob job = task.job();
		double expectedMillis = this.runTimes.expectedMillis(job.terms().queue(), task.step().estimatedMillis());
		Placement placement = new Placement(task, run, endpoint, orderedMillis, expectedMillis);
		task.placement(placement);
		endpoint.add(placement);
		job.addPlacement();
		return placement;
	}

	private void runEnded(Placement placement, EndKind kind, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		task.placement(null);
		job.removePlacement();
		if (job.isFinished()) {
			release(job, nowMillis);
			return;
		}
		if (kind == EndKind.DONE) {
			taskDone(placement, nowMillis);
		}
		else if (kind == EndKind.FAILED && task.countFailure() >= job.terms().maxAttempts()) {
			finish(job, JobOutcome.of(JobOutcome.Kind.FAILED, "attempts-used-up"), nowMillis);
		}
		else {
			restart(task, nowMillis);
		}
	}

	private void taskDone(Placement placement, long nowMillis) {
		PooledJob job = placement.task().job();
		this.runTimes.observe(job.terms().queue(), nowMillis - placement.orderedMillis());
		if (job.taskDone(placement.task())) {
			finish(job, JobOutcome.of(JobOutcome.Kind.COMPLETED, "done"), nowMillis);
		}
		else if (!job.ready().isEmpty() && !this.queue.contains(job)) {
			this.queue.add(job, nowMillis);
		}
	}

	private void restart(PooledTask task, long nowMillis) {
		task.job().ready().addFirst(task);
		if (!this.queue.contains(task.job())) {
			this.queue.add(task.job(), nowMillis);
		}
	}

	private void finish(PooledJob job, JobOutcome outcome, long nowMillis) {
		this.queue.remove(job);
		this.jobs.remove(job.spec().jobId());
		this.deferred.remove(job.spec().jobId(), job);
		job.markFinished();
		if (job.placementCount() > 0) {
			this.lingering.put(job.spec().jobId(), job);
			job.allTasks()
				.stream()
				.map(PooledTask::placement)
				.filter((placement) -> placement != null)
				.forEach((placement) -> this.ledger.stop(placement, outcome.reason(), nowMillis));
		}
		this.actions.answer(job, outcome);
	}

	private void release(PooledJob job, long nowMillis) {
		if (job.placementCount() > 0) {
			return;
		}
		String jobId = job.spec().jobId();
		this.lingering.remove(jobId, job);
		PooledJob next = this.deferred.remove(jobId);
		if (next != null) {
			next.continueRunsOf(job);
			this.queue.add(next, nowMillis);
		}
	}

	private Optional<Placement> find(String endpointId, TaskRun run) {
		return Optional.ofNullable(this.endpoints.get(endpointId)).flatMap((endpoint) -> endpoint.placement(run));
	}

	/**
	 * Returns up to which end an endpoint may forget its list.
	 * @param endpointId the endpoint
	 * @return the number of the last end that was taken note of, or 0
	 */
	public long acknowledgedEndNumber(String endpointId) {
		PooledEndpoint endpoint = this.endpoints.get(endpointId);
		return (endpoint != null) ? endpoint.acknowledgedEndNumber() : 0;
	}

	/**
	 * Returns whether an endpoint is listed, or still holds runs.
	 * @param endpointId the endpoint
	 * @return whether it matters
	 */
	public boolean knows(String endpointId) {
		return this.endpoints.containsKey(endpointId);
	}

	/**
	 * Returns whether an endpoint holds runs whose end is not certain.
	 * @param endpointId the endpoint
	 * @return whether it is busy
	 */
	public boolean isBusy(String endpointId) {
		PooledEndpoint endpoint = this.endpoints.get(endpointId);
		return endpoint != null && endpoint.placementCount() + endpoint.foreignRunCount() > 0;
	}

	/**
	 * Returns the load of the pool.
	 * @param nowMillis the time in milliseconds
	 * @return the load
	 */
	public PoolLoad load(long nowMillis) {
		long freeMillicores = usable(nowMillis).stream()
			.mapToLong((endpoint) -> Math.max(0, endpoint.free().cpuMillicores()))
			.sum();
		return new PoolLoad(totalCpuMillicores(), freeMillicores, backlogMillis(), this.jobs.size());
	}

	private long totalCpuMillicores() {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.isListed() && endpoint.entry().ready())
			.filter((endpoint) -> !endpoint.health().isSuspected())
			.mapToLong((endpoint) -> endpoint.entry().capacity().cpuMillicores())
			.sum();
	}

	private Collection<PooledEndpoint> usable(long nowMillis) {
		List<PooledEndpoint> usable = new ArrayList<>(this.endpoints.values());
		usable.removeIf((endpoint) -> !endpoint.takesTasks(nowMillis, this.settings.silenceLimitMillis()));
		return usable;
	}

}
