package org.masticwick.core.request.internal;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.Admission;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Decides whether a job may enter the queue. Declared resource requirements only exclude
 * tasks that no endpoint can run; expected waits are computed from measured run times.
 */
final class AdmissionControl {

	private static final double MISSING_CONFIGURATION_RETRY_NANOS = TimeMath.NANOS_PER_SECOND;

	private final SchedulerState state;

	private long lastSequence;

	/**
	 * Creates an admission control.
	 * @param state the shared state of the scheduler
	 */
	AdmissionControl(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Queues all tasks of a job or rejects the job.
	 * @param submission the job
	 * @param nowNanos the current time
	 * @return whether the job was admitted, and otherwise the reason
	 */
	Admission admit(JobSubmission submission, long nowNanos) {
		if (this.state.jobs().containsKey(submission.ticket())) {
			throw new IllegalStateException(
					"Tasks of the ticket are already queued or running: " + submission.ticket());
		}
		Optional<Admission.Rejected> rejected = Stream
			.<AdmissionRule>of(this::checkTaskCount, this::checkVersion, this::checkService, this::checkFit,
					this::checkDeadline)
			.flatMap((rule) -> rule.check(submission.request(), submission.deadlineNanos(), nowNanos).stream())
			.findFirst()
			.or(() -> checkLoad(submission, nowNanos));
		this.state.increment(rejected.isPresent() ? Counter.REJECTED_JOBS : Counter.ADMITTED_JOBS, 1);
		return rejected.map(Admission.class::cast).orElseGet(() -> enqueue(submission, nowNanos));
	}

	private Admission enqueue(JobSubmission submission, long nowNanos) {
		JobRequest request = submission.request();
		ServiceState service = this.state.services().get(request.service());
		TeamAccount account = this.state.teams().getOrCreate(request.team());
		long waitMillis = TimeMath.toMillis(expectedWaitNanos(request, service, account, nowNanos));
		this.state.teams().prepareEnqueue(account);
		this.lastSequence++;
		JobEntry job = new JobEntry(submission, account, this.lastSequence, nowNanos, meanTaskNanos(request, service));
		this.state.jobs().put(submission.ticket(), job);
		this.state.jobsByDeadline().add(job);
		service.queue().add(job, this.state.usableSlotCount(service, nowNanos));
		return new Admission.Admitted(waitMillis);
	}

	private Optional<Admission.Rejected> checkTaskCount(JobRequest request, long deadlineNanos, long nowNanos) {
		int count = request.tasks().size();
		boolean outOfRange = count < 1 || count > JobRequest.MAX_TASK_COUNT;
		return rejectIf(outOfRange, ErrorCode.INVALID_REQUEST, 0,
				"The job has " + count + " tasks; 1 to " + JobRequest.MAX_TASK_COUNT + " are allowed");
	}

	private Optional<Admission.Rejected> checkVersion(JobRequest request, long deadlineNanos, long nowNanos) {
		boolean noVersion = this.state.version().number() == SiteVersion.EMPTY.number();
		return rejectIf(noVersion, ErrorCode.NO_VERSION, MISSING_CONFIGURATION_RETRY_NANOS,
				"This host has not received a version of the site yet");
	}

	private Optional<Admission.Rejected> checkService(JobRequest request, long deadlineNanos, long nowNanos) {
		boolean unknown = !this.state.services().containsKey(request.service());
		return rejectIf(unknown, ErrorCode.UNKNOWN_SERVICE, 0, "The site has no service " + request.service());
	}

	private Optional<Admission.Rejected> checkFit(JobRequest request, long deadlineNanos, long nowNanos) {
		ServiceState service = this.state.services().get(request.service());
		return request.tasks()
			.stream()
			.filter((task) -> fitsNoEndpoint(task, service))
			.findFirst()
			.flatMap((task) -> rejectIf(true, ErrorCode.NEVER_FITS, 0,
					"No endpoint of the service can run a task of kind " + task.kind() + " with "
							+ task.declaredMemoryMegabytes() + " MB of memory and " + task.declaredAcceleratorCount()
							+ " accelerators"));
	}

	private boolean fitsNoEndpoint(TaskSpec task, ServiceState service) {
		if (!service.spec().kinds().isEmpty() && !service.spec().kinds().contains(task.kind())) {
			return true;
		}
		boolean hasEndpoints = !service.localEndpoints().isEmpty() || !service.remoteEndpoints().isEmpty();
		return hasEndpoints && Stream.concat(service.localEndpoints().stream(), service.remoteEndpoints().stream())
			.noneMatch((endpoint) -> endpoint.fits(task));
	}

	private Optional<Admission.Rejected> checkDeadline(JobRequest request, long deadlineNanos, long nowNanos) {
		return rejectIf(nowNanos >= deadlineNanos, ErrorCode.DEADLINE_PASSED, 0, "The deadline of the job has passed");
	}

	private Optional<Admission.Rejected> checkLoad(JobSubmission submission, long nowNanos) {
		JobRequest request = submission.request();
		ServiceState service = this.state.services().get(request.service());
		Optional<Admission.Rejected> drained = checkDrainedDomains(request, service);
		if (drained.isPresent()) {
			return drained;
		}
		if (!service.hasLiveEndpoint()) {
			return rejectIf(true, ErrorCode.NO_ENDPOINT, MISSING_CONFIGURATION_RETRY_NANOS,
					"No endpoint of the service accepts tasks");
		}
		TeamAccount account = this.state.teams().getOrCreate(request.team());
		Optional<Admission.Rejected> rejected = checkQuota(request, service, account, nowNanos)
			.or(() -> checkWait(submission, service, account, nowNanos));
		this.state.teams().removeIfIdle(account);
		return rejected;
	}

	private Optional<Admission.Rejected> checkDrainedDomains(JobRequest request, ServiceState service) {
		if (this.state.rules().drainedDomains().isEmpty()) {
			return Optional.empty();
		}
		return request.tasks()
			.stream()
			.filter((task) -> service.requiresDrainedEndpoint(task, Set.of()))
			.findFirst()
			.flatMap((task) -> rejectIf(true, ErrorCode.NO_ENDPOINT, MISSING_CONFIGURATION_RETRY_NANOS,
					"Only endpoints of drained failure domains ("
							+ String.join(", ", this.state.rules().drainedDomains()) + ") can run a task of kind "
							+ task.kind() + "; they accept tasks once their domain is returned to service"));
	}

	private Optional<Admission.Rejected> checkQuota(JobRequest request, ServiceState service, TeamAccount account,
			long nowNanos) {
		double teamFraction = this.state.teams().shareFraction(account);
		double limitCount = Math.max(JobRequest.MAX_TASK_COUNT, this.state.settings().queueLimitCount() * teamFraction);
		double surplusCount = account.queuedCount() + request.tasks().size() - limitCount;
		double drainNanos = this.state.expectedWaitNanos(service, (int) Math.ceil(surplusCount), nowNanos)
				/ teamFraction;
		boolean onlyActiveTeam = (teamFraction == 1);
		return rejectIf(surplusCount > 0, onlyActiveTeam ? ErrorCode.OVERLOADED : ErrorCode.QUOTA_EXCEEDED, drainNanos,
				"The team has " + account.queuedCount() + " queued tasks, and the job would exceed its queue limit");
	}

	private Optional<Admission.Rejected> checkWait(JobSubmission submission, ServiceState service, TeamAccount account,
			long nowNanos) {
		double waitNanos = expectedWaitNanos(submission.request(), service, account, nowNanos);
		double maxWaitNanos = TimeMath.toNanos(this.state.settings().maxWaitMillis());
		if (waitNanos > maxWaitNanos) {
			return rejectIf(true, ErrorCode.OVERLOADED, waitNanos - maxWaitNanos,
					"The expected queue wait of " + TimeMath.toMillis(waitNanos) + " ms exceeds the limit");
		}
		JobRequest request = submission.request();
		double meanTaskNanos = meanTaskNanos(request, service);
		double parallelWorkNanos = meanTaskNanos * request.tasks().size()
				/ this.state.usableSlotCount(service, nowNanos);
		double completionNanos = waitNanos + Math.max(meanTaskNanos, parallelWorkNanos);
		double remainingNanos = submission.deadlineNanos() - nowNanos;
		return rejectIf(completionNanos > remainingNanos, ErrorCode.DEADLINE_UNREACHABLE,
				Math.min(waitNanos, completionNanos - remainingNanos), "The job is expected to take "
						+ TimeMath.toMillis(completionNanos) + " ms, which is longer than its deadline allows");
	}

	private double expectedWaitNanos(JobRequest request, ServiceState service, TeamAccount account, long nowNanos) {
		if (request.urgent()) {
			return this.state.expectedWaitNanos(service, service.queue().urgentQueuedCount(), nowNanos);
		}
		double allNanos = this.state.expectedWaitNanos(service, service.queue().queuedCount(), nowNanos);
		double teamNanos = this.state.expectedWaitNanos(service, account.queuedCount(), nowNanos)
				/ this.state.teams().shareFraction(account);
		double urgentNanos = this.state.expectedWaitNanos(service, service.queue().urgentQueuedCount(), nowNanos);
		return Math.min(allNanos, urgentNanos + teamNanos);
	}

	private double meanTaskNanos(JobRequest request, ServiceState service) {
		return request.tasks().stream().mapToDouble(service.runTimes()::expectedNanos).average().orElse(0);
	}

	private Optional<Admission.Rejected> rejectIf(boolean condition, ErrorCode code, double retryNanos, String detail) {
		if (!condition) {
			return Optional.empty();
		}
		boolean retryUseful = code.retryable() && retryNanos > 0;
		long retryAfterMillis = retryUseful ? TimeMath.retryAfterMillis(retryNanos, this.state.random()) : 0;
		return Optional.of(new Admission.Rejected(code, retryAfterMillis, detail));
	}

	/**
	 * A check of a job that does not depend on load.
	 */
	@FunctionalInterface
	private interface AdmissionRule {

		Optional<Admission.Rejected> check(JobRequest request, long deadlineNanos, long nowNanos);

	}

}
