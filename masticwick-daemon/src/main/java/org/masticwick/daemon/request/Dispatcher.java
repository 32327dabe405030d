package org.masticwick.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Admission;
import org.masticwick.core.request.Disposition;
import org.masticwick.core.request.DroppedTask;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulingDecisions;
import org.masticwick.core.request.StartCommand;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;
import org.masticwick.daemon.connection.NamedThreads;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.process.metrics.WasteKind;

/**
 * Drives the scheduler: starts what it says, tells it what became of each start, and ends
 * jobs.
 */
public final class Dispatcher implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Dispatcher.class);

	private static final long POLL_MILLIS = 250;

	private static final long CANCEL_REPLY_MILLIS = 250;

	private static final int TIMER_THREAD_COUNT = 2;

	private final Scheduler scheduler;

	private final EndpointClient client;

	private final Supplier<SiteVersion> version;

	private final TimeSource time;

	private final Metrics metrics;

	private final RunTimes runTimes;

	private final CancelBatch cancellations;

	private final ScheduledExecutorService timer = newTimer();

	private final Map<String, ActiveJob> jobs = new ConcurrentHashMap<>();

	private final TurnLoop turns;

	/**
	 * Creates a dispatcher.
	 * @param scheduler the decisions
	 * @param client the way to the endpoints
	 * @param version the version in force, read once per start
	 * @param time the clock
	 * @param metrics the metrics
	 * @param minSilenceMillis how long to wait at least before asking by task id, in
	 * milliseconds
	 */
	public Dispatcher(Scheduler scheduler, EndpointClient client, Supplier<SiteVersion> version, TimeSource time,
			Metrics metrics, long minSilenceMillis) {
		this.scheduler = scheduler;
		this.client = client;
		this.version = version;
		this.time = time;
		this.metrics = metrics;
		this.runTimes = new RunTimes(minSilenceMillis);
		this.cancellations = new CancelBatch(client, this.timer, metrics);
		this.turns = new TurnLoop(this.timer, time, this::turn);
	}

	/**
	 * Creates the timer. What is cancelled leaves it at once, so that it holds no jobs
	 * that have ended.
	 * @return the timer
	 */
	private static ScheduledExecutorService newTimer() {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(TIMER_THREAD_COUNT,
				new NamedThreads("dispatch"));
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

	/**
	 * Admits a job as a whole, or ends it as refused.
	 * @param job the job
	 */
	public void submit(Job job) {
		long now = this.time.nanoTime();
		ActiveJob active = new ActiveJob(job, now);
		this.jobs.put(job.ticketText(), active);
		job.answer().whenComplete((answer, ex) -> ended(active));
		Admission admission = this.scheduler
			.admit(new JobSubmission(job.ticketText(), job.request(), job.deadlineNanos()), now);
		if (admission instanceof Admission.Rejected rejected) {
			giveUp(job, rejected.code(), rejected.code(), rejected.detail(), rejected.retryAfterMillis());
			return;
		}
		RequestLog.event(logger, job.ticket())
			.addKeyValue("service", job.request().service())
			.addKeyValue("version", () -> this.version.get().number())
			.log("Job admitted");
		ScheduledFuture<?> deadline = this.timer.schedule(() -> passDeadline(job), job.deadlineNanos() - now,
				TimeUnit.NANOSECONDS);
		job.answer().whenComplete((answer, ex) -> deadline.cancel(false));
		requestSchedulingPass();
	}

	private void passDeadline(Job job) {
		giveUp(job, ErrorCode.DEADLINE_PASSED, ErrorCode.JOB_FAILED, "The deadline passed", 0);
	}

	/**
	 * Cancels a job: what is queued never starts, and each endpoint that runs tasks of it
	 * gets one message, together with those of other jobs that end at about that time.
	 * @param job the job
	 */
	public void cancel(Job job) {
		giveUp(job, ErrorCode.CANCELLED_NOT_RUN, ErrorCode.CANCELLED, "The caller cancelled the job",
				HttpAnswer.NO_RETRY);
	}

	/**
	 * Ends all jobs that still run, since the process stops.
	 * @return how many there were
	 */
	public int stopAll() {
		List<Job> left = this.jobs.values().stream().map(ActiveJob::job).filter((job) -> !job.ended()).toList();
		left.forEach((job) -> giveUp(job, ErrorCode.DRAINING, ErrorCode.STOPPED, "The host stopped", 0));
		return left.size();
	}

	private void giveUp(Job job, ErrorCode refusal, ErrorCode failure, String detail, long retryAfterMillis) {
		if (job.abandon(refusal, failure, detail, retryAfterMillis)) {
			ErrorCode code = job.taskStates().contains(TaskState.STARTED) ? failure : refusal;
			this.metrics.countFailedJob(code);
			RequestLog.event(logger, job.ticket())
				.addKeyValue("code", code.code())
				.addKeyValue("ran", code.runState().text())
				.addKeyValue("detail", detail)
				.log("Job ended without a result");
		}
	}

	private void ended(ActiveJob active) {
		Job job = active.job();
		this.scheduler.cancel(job.ticketText(), this.time.nanoTime());
		if (!active.runs().isEmpty()) {
			active.runs().values().forEach(TaskRun::cancelling);
			job.runningTasks().forEach((task) -> this.cancellations.add(task.endpoint(), task.task()));
			this.timer.schedule(() -> active.runs().values().forEach(this::abandon), CANCEL_REPLY_MILLIS,
					TimeUnit.MILLISECONDS);
		}
		this.jobs.remove(job.ticketText(), active);
		requestSchedulingPass();
	}

	/**
	 * Starts what can start now.
	 */
	public void requestSchedulingPass() {
		this.turns.drive();
	}

	private long turn(long now) {
		SchedulingDecisions turn = this.scheduler.schedule(now);
		turn.droppedTasks().forEach(this::drop);
		turn.starts().forEach(this::start);
		return turn.nextPassNanos();
	}

	private void drop(DroppedTask dropped) {
		ActiveJob active = this.jobs.get(dropped.task().ticket());
		if (active != null) {
			giveUp(active.job(), dropped.code(), ErrorCode.JOB_FAILED, "The job was given up in the queue",
					dropped.retryAfterMillis());
		}
	}

	private void start(StartCommand start) {
		ActiveJob active = this.jobs.get(start.task().ticket());
		HostAddress endpoint = start.endpoint().address();
		if (active == null || !active.job().tryStart(start.task().index(), endpoint)) {
			this.scheduler.recordOutcome(start.task(), new StartOutcome(endpoint, StartOutcome.Kind.CANCELLED, 0),
					this.time.nanoTime());
			return;
		}
		long now = this.time.nanoTime();
		String service = start.endpoint().service();
		this.metrics.recordStart(service, now - active.submittedNanos());
		taskEvent(active, start).addKeyValue("version", () -> this.version.get().number())
			.addKeyValue("waited_ms", TimeUnit.NANOSECONDS.toMillis(now - active.submittedNanos()))
			.log("Task starts");
		TaskPost post = new TaskPost(start.task(), endpoint, service, start.spec().kind(), start.spec().payload(),
				start.leaseMillis());
		TaskRun run = new TaskRun(this.client, this.timer, post, options(service, start.spec().kind()),
				() -> onLookup(active, start), (result) -> onEnd(active, start, now, result));
		active.runs().put(start.task().index(), run);
		run.begin();
		if (active.job().ended()) {
			run.cancelling();
			this.cancellations.add(endpoint, start.task());
			this.timer.schedule(() -> abandon(run), CANCEL_REPLY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void abandon(TaskRun run) {
		if (!run.ended()) {
			// The cancellation may have overtaken the post.
			this.cancellations.add(run.endpoint(), run.task());
			run.abandon();
		}
	}

	private TaskRun.Options options(String service, String kind) {
		ServiceSpec spec = this.version.get().services().get(service);
		boolean lookup = spec != null && spec.lookup();
		return new TaskRun.Options(lookup, this.runTimes.silenceLimitMillis(service, kind), POLL_MILLIS);
	}

	private static LoggingEventBuilder taskEvent(ActiveJob active, StartCommand start) {
		return RequestLog.event(logger, active.job().ticket())
			.addKeyValue("task", start.task().index())
			.addKeyValue("endpoint", start.endpoint().address());
	}

	private void onLookup(ActiveJob active, StartCommand start) {
		taskEvent(active, start).log("Task looked up");
		this.metrics.countMessage(MessageKind.LOOKUP);
		this.metrics.countWastedMessage(WasteKind.LOOKUP);
	}

	private void onEnd(ActiveJob active, StartCommand start, long startedNanos, TaskRun.Result result) {
		int index = start.task().index();
		HostAddress endpoint = start.endpoint().address();
		long now = this.time.nanoTime();
		active.runs().remove(index);
		taskEvent(active, start).addKeyValue("end", result.kind())
			.addKeyValue("run_ms", TimeUnit.NANOSECONDS.toMillis(now - startedNanos))
			.addKeyValue("detail", result.detail())
			.log("Task ended");
		record(active, start, now - startedNanos, result);
		Disposition disposition = this.scheduler.recordOutcome(start.task(),
				new StartOutcome(endpoint, result.kind(), now - startedNanos, result.busySlotCount()), now);
		if (disposition instanceof Disposition.Abandoned givenUp) {
			giveUp(active.job(), givenUp.code(), ErrorCode.JOB_FAILED, "No endpoint took the task " + index,
					givenUp.retryAfterMillis());
		}
		requestSchedulingPass();
	}

	private void record(ActiveJob active, StartCommand start, long runNanos, TaskRun.Result result) {
		Job job = active.job();
		int index = start.task().index();
		switch (result.kind()) {
			case SUCCEEDED -> succeed(active, start, runNanos, result.result());
			case FAILED -> lose(job, index, TaskState.FAILED, result.detail());
			case LOST -> lose(job, index, TaskState.UNKNOWN, result.detail());
			case CANCELLED -> this.metrics.countWastedMessage(WasteKind.UNUSED);
			case NOT_CONNECTED -> {
				job.revertStart(index);
				this.metrics.countWastedMessage(WasteKind.NOT_SENT);
			}
			case REFUSED_FULL, REFUSED_LEAVING, REFUSED_NEVER_FITS -> {
				job.revertStart(index);
				this.metrics.countWastedMessage(WasteKind.REFUSED);
			}
		}
	}

	private void succeed(ActiveJob active, StartCommand start, long runNanos, String result) {
		this.runTimes.observe(start.endpoint().service(), start.spec().kind(), TimeUnit.NANOSECONDS.toMillis(runNanos));
		if (active.job().recordResult(start.task().index(), result)) {
			JobRequest request = active.job().request();
			this.metrics.recordCompletedJob(request.service(), request.urgent(),
					this.time.nanoTime() - active.submittedNanos());
			RequestLog.event(logger, active.job().ticket())
				.addKeyValue("response_ms",
						TimeUnit.NANOSECONDS.toMillis(this.time.nanoTime() - active.submittedNanos()))
				.log("Job complete");
		}
	}

	private void lose(Job job, int index, TaskState state, String detail) {
		job.recordUnsuccessful(index, state);
		giveUp(job, ErrorCode.JOB_FAILED, ErrorCode.JOB_FAILED, "Task " + index + " " + state.text() + ": " + detail,
				HttpAnswer.NO_RETRY);
	}

	/**
	 * Returns how many jobs have not ended.
	 * @return the count
	 */
	public int activeJobCount() {
		return this.jobs.size();
	}

	/**
	 * Returns jobs that have not ended, for the dump of the process.
	 * @param maxCount how many at most
	 * @return the jobs
	 */
	public List<ActiveJobState> activeJobs(int maxCount) {
		long now = this.time.nanoTime();
		return this.jobs.values().stream().limit(maxCount).map((active) -> stateOf(active, now)).toList();
	}

	private static ActiveJobState stateOf(ActiveJob active, long now) {
		Job job = active.job();
		Map<String, Long> taskCounts = job.taskStates()
			.stream()
			.collect(Collectors.groupingBy(TaskState::text, TreeMap::new, Collectors.counting()));
		return new ActiveJobState(RequestLog.withoutIntegrityCheck(job.ticketText()), job.request().service(),
				job.request().team(), job.request().urgent(),
				TimeUnit.NANOSECONDS.toMillis(now - active.submittedNanos()),
				TimeUnit.NANOSECONDS.toMillis(job.deadlineNanos() - now), taskCounts);
	}

	/**
	 * Returns the scheduler, for its load and its state.
	 * @return the scheduler
	 */
	public Scheduler scheduler() {
		return this.scheduler;
	}

	@Override
	public void close() {
		this.cancellations.flush();
		this.timer.shutdownNow();
		this.client.close();
	}

	/**
	 * Is a job that has not ended, with the runs of its tasks.
	 *
	 * @param job the job
	 * @param submittedNanos when it was submitted, on the monotonic clock
	 * @param runs the runs by place of the task
	 */
	private record ActiveJob(Job job, long submittedNanos, Map<Integer, TaskRun> runs) {

		ActiveJob(Job job, long submittedNanos) {
			this(job, submittedNanos, new ConcurrentHashMap<>());
		}

	}

}
