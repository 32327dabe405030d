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
 * Executes the decisions of the scheduler: starts tasks on their endpoints, reports the
 * outcome of each start back to the scheduler, and completes the answers of jobs.
 */
public final class Dispatcher implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Dispatcher.class);

	private static final long RUNNING_TASK_POLL_MILLIS = 250;

	private static final long CANCEL_REPLY_TIMEOUT_MILLIS = 250;

	private static final int TIMER_THREAD_COUNT = 2;

	private final Scheduler scheduler;

	private final EndpointClient client;

	private final Supplier<SiteVersion> activeVersion;

	private final TimeSource time;

	private final Metrics metrics;

	private final TaskDurations taskDurations;

	private final CancelBatch cancellations;

	private final ScheduledExecutorService timer = newTimer();

	private final Map<String, ActiveJob> jobs = new ConcurrentHashMap<>();

	private final SchedulerLoop schedulerLoop;

	/**
	 * Creates a dispatcher.
	 * @param scheduler decides which tasks start and on which endpoints
	 * @param client sends requests to the endpoints
	 * @param activeVersion supplies the active version, which is read once per start
	 * @param time the clock
	 * @param metrics counts starts, messages and answers
	 * @param minReplyTimeoutMillis how long to wait for the reply to a start, at least,
	 * before looking the task up by its id, in milliseconds
	 */
	public Dispatcher(Scheduler scheduler, EndpointClient client, Supplier<SiteVersion> activeVersion, TimeSource time,
			Metrics metrics, long minReplyTimeoutMillis) {
		this.scheduler = scheduler;
		this.client = client;
		this.activeVersion = activeVersion;
		this.time = time;
		this.metrics = metrics;
		this.taskDurations = new TaskDurations(minReplyTimeoutMillis);
		this.cancellations = new CancelBatch(client, this.timer, metrics);
		this.schedulerLoop = new SchedulerLoop(this.timer, time, this::runSchedulingPass);
	}

	/**
	 * Creates the timer. It removes cancelled timeouts at once; otherwise the deadline
	 * timeout of an ended job would keep the job in memory until the deadline.
	 * @return the timer
	 */
	private static ScheduledExecutorService newTimer() {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(TIMER_THREAD_COUNT,
				new NamedThreads("dispatch"));
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

	/**
	 * Submits a job to the scheduler, which admits or rejects all of its tasks together.
	 * A rejected job is answered at once.
	 * @param job the job
	 */
	public void submit(Job job) {
		long nowNanos = this.time.nanoTime();
		ActiveJob active = new ActiveJob(job, nowNanos);
		this.jobs.put(job.ticketText(), active);
		job.answer().whenComplete((answer, ex) -> onJobEnded(active));
		Admission admission = this.scheduler
			.admit(new JobSubmission(job.ticketText(), job.request(), job.deadlineNanos()), nowNanos);
		if (admission instanceof Admission.Rejected rejected) {
			abandonJob(job, rejected.code(), rejected.code(), rejected.detail(), rejected.retryAfterMillis());
			return;
		}
		RequestLog.event(logger, job.ticket())
			.addKeyValue("service", job.request().service())
			.addKeyValue("version", () -> this.activeVersion.get().number())
			.log("Job admitted; its tasks are queued");
		ScheduledFuture<?> deadline = this.timer.schedule(() -> onDeadlinePassed(job), job.deadlineNanos() - nowNanos,
				TimeUnit.NANOSECONDS);
		job.answer().whenComplete((answer, ex) -> deadline.cancel(false));
		requestSchedulingPass();
	}

	private void onDeadlinePassed(Job job) {
		abandonJob(job, ErrorCode.DEADLINE_PASSED, ErrorCode.JOB_FAILED,
				"The deadline passed before all tasks had a result", 0);
	}

	/**
	 * Cancels a job. Its queued tasks never start, and each endpoint that runs tasks of
	 * the job gets one cancel message, which also carries the tasks of other jobs that
	 * end at about the same time. Has no effect on a job that has ended.
	 * @param job the job
	 */
	public void cancel(Job job) {
		abandonJob(job, ErrorCode.CANCELLED_NOT_RUN, ErrorCode.CANCELLED, "The caller cancelled the job",
				HttpAnswer.NO_RETRY);
	}

	/**
	 * Ends all jobs that have no answer yet, because the host stops.
	 * @return the number of jobs that were ended
	 */
	public int stopAll() {
		List<Job> activeJobs = this.jobs.values().stream().map(ActiveJob::job).filter((job) -> !job.ended()).toList();
		activeJobs.forEach((job) -> abandonJob(job, ErrorCode.DRAINING, ErrorCode.STOPPED,
				"The host stopped before the job had ended", 0));
		return activeJobs.size();
	}

	private void abandonJob(Job job, ErrorCode refusal, ErrorCode failure, String detail, long retryAfterMillis) {
		if (job.abandon(refusal, failure, detail, retryAfterMillis)) {
			ErrorCode code = job.taskStates().contains(TaskState.STARTED) ? failure : refusal;
			this.metrics.countFailedJob(code);
			RequestLog.event(logger, job.ticket())
				.addKeyValue("code", code.code())
				.addKeyValue("ran", code.runState().text())
				.addKeyValue("detail", detail)
				.log("Job ended without a result; cancelling its remaining runs");
		}
	}

	private void onJobEnded(ActiveJob active) {
		Job job = active.job();
		this.scheduler.cancel(job.ticketText(), this.time.nanoTime());
		if (!active.runs().isEmpty()) {
			active.runs().values().forEach(TaskRun::markCancelRequested);
			job.runningTasks().forEach((task) -> this.cancellations.add(task.endpoint(), task.task()));
			this.timer.schedule(() -> active.runs().values().forEach(this::abandonRun), CANCEL_REPLY_TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
		}
		this.jobs.remove(job.ticketText(), active);
		requestSchedulingPass();
	}

	/**
	 * Runs a scheduling pass, which starts every task that can start now. If another
	 * thread is running one, that thread runs one more.
	 */
	public void requestSchedulingPass() {
		this.schedulerLoop.requestPass();
	}

	private long runSchedulingPass(long nowNanos) {
		SchedulingDecisions decisions = this.scheduler.schedule(nowNanos);
		decisions.droppedTasks().forEach(this::abandonDroppedJob);
		decisions.starts().forEach(this::start);
		return decisions.nextPassNanos();
	}

	private void abandonDroppedJob(DroppedTask dropped) {
		ActiveJob active = this.jobs.get(dropped.task().ticket());
		if (active != null) {
			String detail = (dropped.code() == ErrorCode.NO_ENDPOINT)
					? "No endpoint that could run a queued task of the job accepts tasks"
					: "The scheduler dropped a queued task of the job";
			abandonJob(active.job(), dropped.code(), ErrorCode.JOB_FAILED, detail, dropped.retryAfterMillis());
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
		long nowNanos = this.time.nanoTime();
		String service = start.endpoint().service();
		this.metrics.recordStart(service, nowNanos - active.submittedNanos());
		taskEvent(active, start).addKeyValue("version", () -> this.activeVersion.get().number())
			.addKeyValue("waited_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - active.submittedNanos()))
			.log("Starting the task on the endpoint");
		TaskPost post = new TaskPost(start.task(), endpoint, service, start.spec().kind(), start.spec().payload(),
				start.leaseMillis());
		TaskRun run = new TaskRun(this.client, this.timer, post, options(service, start.spec().kind()),
				() -> recordLookup(active, start), (result) -> onRunTerminated(active, start, nowNanos, result));
		active.runs().put(start.task().index(), run);
		run.start();
		if (active.job().ended()) {
			run.markCancelRequested();
			this.cancellations.add(endpoint, start.task());
			this.timer.schedule(() -> abandonRun(run), CANCEL_REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void abandonRun(TaskRun run) {
		if (!run.isTerminated()) {
			// Cancels once more: the first cancel message may have reached the endpoint
			// before the start request did.
			this.cancellations.add(run.endpoint(), run.task());
			run.abandon();
		}
	}

	private TaskRun.Options options(String service, String kind) {
		ServiceSpec spec = this.activeVersion.get().services().get(service);
		boolean lookup = spec != null && spec.lookup();
		return new TaskRun.Options(lookup, this.taskDurations.replyTimeoutMillis(service, kind),
				RUNNING_TASK_POLL_MILLIS);
	}

	private static LoggingEventBuilder taskEvent(ActiveJob active, StartCommand start) {
		return RequestLog.event(logger, active.job().ticket())
			.addKeyValue("task", start.task().index())
			.addKeyValue("endpoint", start.endpoint().address());
	}

	private void recordLookup(ActiveJob active, StartCommand start) {
		taskEvent(active, start).log("No final reply for the task yet; looking up its status on the endpoint");
		this.metrics.countMessage(MessageKind.LOOKUP);
		this.metrics.countWastedMessage(WasteKind.LOOKUP);
	}

	private void onRunTerminated(ActiveJob active, StartCommand start, long startedNanos, TaskRun.Result result) {
		int index = start.task().index();
		HostAddress endpoint = start.endpoint().address();
		long nowNanos = this.time.nanoTime();
		active.runs().remove(index);
		taskEvent(active, start).addKeyValue("end", result.kind())
			.addKeyValue("run_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos))
			.addKeyValue("detail", result.detail())
			.log("Run of the task terminated");
		applyResult(active, start, nowNanos - startedNanos, result);
		Disposition disposition = this.scheduler.recordOutcome(start.task(),
				new StartOutcome(endpoint, result.kind(), nowNanos - startedNanos, result.busySlotCount()), nowNanos);
		if (disposition instanceof Disposition.Abandoned abandoned) {
			abandonJob(active.job(), abandoned.code(), ErrorCode.JOB_FAILED, "No endpoint accepted task " + index,
					abandoned.retryAfterMillis());
		}
		requestSchedulingPass();
	}

	private void applyResult(ActiveJob active, StartCommand start, long runNanos, TaskRun.Result result) {
		Job job = active.job();
		int index = start.task().index();
		switch (result.kind()) {
			case SUCCEEDED -> recordTaskResult(active, start, runNanos, result.result());
			case FAILED -> recordTaskWithoutResult(job, index, TaskState.FAILED, result.detail());
			case LOST -> recordTaskWithoutResult(job, index, TaskState.UNKNOWN, result.detail());
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

	private void recordTaskResult(ActiveJob active, StartCommand start, long runNanos, String result) {
		this.taskDurations.record(start.endpoint().service(), start.spec().kind(),
				TimeUnit.NANOSECONDS.toMillis(runNanos));
		if (active.job().recordResult(start.task().index(), result)) {
			JobRequest request = active.job().request();
			this.metrics.recordCompletedJob(request.service(), request.urgent(),
					this.time.nanoTime() - active.submittedNanos());
			RequestLog.event(logger, active.job().ticket())
				.addKeyValue("response_ms",
						TimeUnit.NANOSECONDS.toMillis(this.time.nanoTime() - active.submittedNanos()))
				.log("All tasks of the job succeeded; answering the caller");
		}
	}

	private void recordTaskWithoutResult(Job job, int index, TaskState state, String detail) {
		job.recordUnsuccessful(index, state);
		abandonJob(job, ErrorCode.JOB_FAILED, ErrorCode.JOB_FAILED,
				"Task " + index + " " + state.text() + ": " + detail, HttpAnswer.NO_RETRY);
	}

	/**
	 * Returns the number of jobs that have not ended.
	 * @return the number of jobs
	 */
	public int activeJobCount() {
		return this.jobs.size();
	}

	/**
	 * Returns jobs that have not ended, for the state dump of the host.
	 * @param maxCount the maximum number of jobs returned
	 * @return the jobs, in no particular order
	 */
	public List<ActiveJobState> activeJobs(int maxCount) {
		long nowNanos = this.time.nanoTime();
		return this.jobs.values().stream().limit(maxCount).map((active) -> toActiveJobState(active, nowNanos)).toList();
	}

	private static ActiveJobState toActiveJobState(ActiveJob active, long nowNanos) {
		Job job = active.job();
		Map<String, Long> taskCounts = job.taskStates()
			.stream()
			.collect(Collectors.groupingBy(TaskState::text, TreeMap::new, Collectors.counting()));
		return new ActiveJobState(RequestLog.withoutIntegrityCheck(job.ticketText()), job.request().service(),
				job.request().team(), job.request().urgent(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - active.submittedNanos()),
				TimeUnit.NANOSECONDS.toMillis(job.deadlineNanos() - nowNanos), taskCounts);
	}

	/**
	 * Returns the scheduler, from which callers read load and state.
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
	 * Represents a job that has not ended, with the runs of its tasks.
	 *
	 * @param job the job
	 * @param submittedNanos when it was submitted, on the monotonic clock
	 * @param runs the runs that have not terminated, by the index of their task
	 */
	private record ActiveJob(Job job, long submittedNanos, Map<Integer, TaskRun> runs) {

		ActiveJob(Job job, long submittedNanos) {
			this(job, submittedNanos, new ConcurrentHashMap<>());
		}

	}

}
