package org.masticwick.core.request.internal;

import java.util.Optional;
import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.Admission;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Decides whether a job may enter the queue. Declared sizes only tell what can never run;
 * expected waits come from what was learnt.
 */
final class AdmissionControl {

	private static final double ABSENT_RETRY_NANOS = Times.NANOS_PER_SECOND;

	private final SchedulerState state;

	private long sequence;

	/**
	 * Creates an admission control.
	 * @param state the state
	 */
	AdmissionControl(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Takes a whole job in or refuses it whole.
	 * @param submission the job
	 * @param nowNanos the time
	 * @return the verdict
	 */
	Admission admit(JobSubmission submission, long nowNanos) {
		if (this.state.jobs().containsKey(submission.ticket())) {
			throw new IllegalStateException("Admitted before: " + submission.ticket());
		}
		Optional<Admission.Rejected> rejected = Stream
			.<AdmissionRule>of(this::malformed, this::withoutVersion, this::unknownService, this::neverFits,
					this::pastDeadline)
			.flatMap((rule) -> rule.check(submission.request(), submission.deadlineNanos(), nowNanos).stream())
			.findFirst()
			.or(() -> checkLoad(submission, nowNanos));
		this.state.count(rejected.isPresent() ? Counter.REJECTED_JOBS : Counter.ADMITTED_JOBS, 1);
		return rejected.map(Admission.class::cast).orElseGet(() -> queue(submission, nowNanos));
	}

	private Admission queue(JobSubmission submission, long nowNanos) {
		JobRequest request = submission.request();
		ServiceState service = this.state.services().get(request.service());
		TeamAccount account = this.state.teams().open(request.team());
		long waitMillis = Times.toMillis(waitNanos(request, service, account, nowNanos));
		this.state.teams().queued(account);
		this.sequence++;
		JobEntry job = new JobEntry(submission, account, this.sequence, nowNanos, taskNanos(request, service));
		this.state.jobs().put(submission.ticket(), job);
		this.state.jobsByDeadline().add(job);
		service.queue().add(job, this.state.slotCount(service, nowNanos));
		return new Admission.Admitted(waitMillis);
	}

	private Optional<Admission.Rejected> malformed(JobRequest request, long deadlineNanos, long nowNanos) {
		int count = request.tasks().size();
		boolean bad = count < 1 || count > JobRequest.MAX_TASK_COUNT;
		return rejectIf(bad, ErrorCode.INVALID_REQUEST, 0, "The job has " + count + " tasks");
	}

	private Optional<Admission.Rejected> withoutVersion(JobRequest request, long deadlineNanos, long nowNanos) {
		boolean without = this.state.version().number() == SiteVersion.EMPTY.number();
		return rejectIf(without, ErrorCode.NO_VERSION, ABSENT_RETRY_NANOS, "No version of the site is known yet");
	}

	private Optional<Admission.Rejected> unknownService(JobRequest request, long deadlineNanos, long nowNanos) {
		boolean unknown = !this.state.services().containsKey(request.service());
		return rejectIf(unknown, ErrorCode.UNKNOWN_SERVICE, 0, "No service " + request.service());
	}

	private Optional<Admission.Rejected> neverFits(JobRequest request, long deadlineNanos, long nowNanos) {
		ServiceState service = this.state.services().get(request.service());
		return request.tasks()
			.stream()
			.filter((task) -> neverFits(task, service))
			.findFirst()
			.flatMap((task) -> rejectIf(true, ErrorCode.NEVER_FITS, 0, "No endpoint can run " + task.kind() + " with "
					+ task.declaredMemoryMegabytes() + " MB and " + task.declaredAcceleratorCount() + " accelerators"));
	}

	private boolean neverFits(TaskSpec task, ServiceState service) {
		if (!service.spec().kinds().isEmpty() && !service.spec().kinds().contains(task.kind())) {
			return true;
		}
		boolean staffed = !service.local().isEmpty() || !service.remote().isEmpty();
		return staffed && Stream.concat(service.local().stream(), service.remote().stream())
			.noneMatch((endpoint) -> endpoint.fits(task));
	}

	private Optional<Admission.Rejected> pastDeadline(JobRequest request, long deadlineNanos, long nowNanos) {
		return rejectIf(nowNanos >= deadlineNanos, ErrorCode.DEADLINE_PASSED, 0, "The deadline has passed");
	}

	private Optional<Admission.Rejected> checkLoad(JobSubmission submission, long nowNanos) {
		JobRequest request = submission.request();
		ServiceState service = this.state.services().get(request.service());
		if (!service.served()) {
			return rejectIf(true, ErrorCode.NO_ENDPOINT, ABSENT_RETRY_NANOS, "No endpoint of the service takes work");
		}
		TeamAccount account = this.state.teams().open(request.team());
		Optional<Admission.Rejected> rejected = checkQuota(request, service, account, nowNanos)
			.or(() -> checkWait(submission, service, account, nowNanos));
		this.state.teams().close(account);
		return rejected;
	}

	private Optional<Admission.Rejected> checkQuota(JobRequest request, ServiceState service, TeamAccount account,
			long nowNanos) {
		double part = this.state.teams().part(account);
		double limitCount = Math.max(JobRequest.MAX_TASK_COUNT, this.state.settings().queueLimitCount() * part);
		double surplusCount = account.queuedCount() + request.tasks().size() - limitCount;
		double drainNanos = this.state.waitNanos(service, (int) Math.ceil(surplusCount), nowNanos) / part;
		boolean alone = (part == 1);
		return rejectIf(surplusCount > 0, alone ? ErrorCode.OVERLOADED : ErrorCode.QUOTA_EXCEEDED, drainNanos,
				"The team has " + account.queuedCount() + " tasks waiting");
	}

	private Optional<Admission.Rejected> checkWait(JobSubmission submission, ServiceState service, TeamAccount account,
			long nowNanos) {
		double waitNanos = waitNanos(submission.request(), service, account, nowNanos);
		double maxNanos = Times.toNanos(this.state.settings().maxWaitMillis());
		if (waitNanos > maxNanos) {
			return rejectIf(true, ErrorCode.OVERLOADED, waitNanos - maxNanos,
					"The expected wait is " + Times.toMillis(waitNanos) + " ms");
		}
		JobRequest request = submission.request();
		double taskNanos = taskNanos(request, service);
		double workNanos = taskNanos * request.tasks().size() / this.state.slotCount(service, nowNanos);
		double endNanos = waitNanos + Math.max(taskNanos, workNanos);
		double leftNanos = submission.deadlineNanos() - nowNanos;
		return rejectIf(endNanos > leftNanos, ErrorCode.DEADLINE_UNREACHABLE, Math.min(waitNanos, endNanos - leftNanos),
				"The job is expected to take " + Times.toMillis(endNanos) + " ms");
	}

	private double waitNanos(JobRequest request, ServiceState service, TeamAccount account, long nowNanos) {
		if (request.urgent()) {
			return this.state.waitNanos(service, service.queue().urgentQueuedCount(), nowNanos);
		}
		double allNanos = this.state.waitNanos(service, service.queue().queuedCount(), nowNanos);
		double teamNanos = this.state.waitNanos(service, account.queuedCount(), nowNanos)
				/ this.state.teams().part(account);
		double urgentNanos = this.state.waitNanos(service, service.queue().urgentQueuedCount(), nowNanos);
		return Math.min(allNanos, urgentNanos + teamNanos);
	}

	private double taskNanos(JobRequest request, ServiceState service) {
		return request.tasks().stream().mapToDouble(service.runTimes()::expectedNanos).average().orElse(0);
	}

	private Optional<Admission.Rejected> rejectIf(boolean condition, ErrorCode code, double retryNanos, String detail) {
		if (!condition) {
			return Optional.empty();
		}
		boolean comeBack = code.retryable() && retryNanos > 0;
		long retryAfterMillis = comeBack ? Times.retryAfterMillis(retryNanos, this.state.random()) : 0;
		return Optional.of(new Admission.Rejected(code, retryAfterMillis, detail));
	}

	/**
	 * Checks a job without regard to load.
	 */
	@FunctionalInterface
	private interface AdmissionRule {

		Optional<Admission.Rejected> check(JobRequest request, long deadlineNanos, long nowNanos);

	}

}
