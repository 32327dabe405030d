package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.StartCommand;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;

/**
 * Plans the starts of one service in one scheduling pass: probes of ejected endpoints,
 * starts in the own failure domain and, once the expected wait exceeds the cost of the
 * network hop, starts in other failure domains (spills).
 */
final class ServiceStartPlanner {

	private static final int CANDIDATE_JOB_COUNT = 16;

	private static final int MAX_PROBE_TASK_COUNT = 4;

	private static final long MAX_PROBE_DELAY_NANOS = 2_000_000_000L;

	private static final double MIN_REMAINING_RUN_FRACTION = 0.5;

	private static final double SLOT_OVERCOMMIT_FACTOR = 0.25;

	private static final int MIN_FREE_SLOTS_FOR_SPILL = 2;

	private final SchedulerState state;

	private final ServiceState service;

	private final PlacementContext context;

	private final List<StartCommand> plannedStarts;

	private final long nowNanos;

	/**
	 * Creates a planner for one scheduling pass.
	 * @param state the shared state of the scheduler
	 * @param service the service
	 * @param nowNanos the current time
	 * @param plannedStarts the starts of the pass, to which this planner adds
	 */
	ServiceStartPlanner(SchedulerState state, ServiceState service, long nowNanos, List<StartCommand> plannedStarts) {
		this.state = state;
		this.service = service;
		this.context = state.placementContext(service, nowNanos);
		this.nowNanos = nowNanos;
		this.plannedStarts = plannedStarts;
	}

	/**
	 * Adds the starts of the service to those of the pass.
	 */
	void plan() {
		if (this.service.retryBudget().refillAndCheck(this.nowNanos)) {
			this.service.queue()
				.restoreDeferred((long) this.service.retryBudget().tokenCount(),
						this.state.usableSlotCount(this.service, this.nowNanos));
		}
		planProbes(this.service.localEndpoints());
		planLocalStarts();
		planSpillStarts();
	}

	private void planProbes(List<EndpointView> endpoints) {
		endpoints.stream()
			.filter((endpoint) -> endpoint.probeDue(this.nowNanos))
			.takeWhile((endpoint) -> canPlanMore())
			.forEach((endpoint) -> probeJob(endpoint).ifPresent((job) -> tryStart(job, List.of(endpoint), true)));
	}

	private Optional<JobEntry> probeJob(EndpointView endpoint) {
		boolean overdue = this.nowNanos - endpoint.health().nextProbeNanos() > MAX_PROBE_DELAY_NANOS;
		return this.service.queue()
			.candidates(CANDIDATE_JOB_COUNT)
			.stream()
			.filter((job) -> overdue || lowImpact(job))
			.findFirst();
	}

	private boolean lowImpact(JobEntry job) {
		return !job.request().urgent() && job.request().tasks().size() <= MAX_PROBE_TASK_COUNT;
	}

	private void planLocalStarts() {
		List<EndpointView> available = new ArrayList<>();
		this.service.localEndpoints().stream().filter(this::hasFreeSlot).forEach(available::add);
		while (canPlanMore() && !available.isEmpty()) {
			Optional<EndpointView> used = startNext(available, (job) -> !withheldForSmallJobs(job, available));
			if (used.isEmpty()) {
				return;
			}
			if (!hasFreeSlot(used.get())) {
				available.remove(used.get());
			}
		}
	}

	private void planSpillStarts() {
		boolean noLocalEndpoint = this.service.localEndpoints().stream().noneMatch(EndpointView::live);
		long maxWaitNanos = noLocalEndpoint ? -1 : TimeMath.toNanos(this.state.rules().spillWaitMillis());
		if (!exceedsSpillWait(maxWaitNanos)) {
			return;
		}
		planProbes(this.service.remoteEndpoints());
		List<EndpointView> available = new ArrayList<>();
		this.service.remoteEndpoints().stream().filter(this::hasFreeSlotForSpill).forEach(available::add);
		while (canPlanMore() && !available.isEmpty() && exceedsSpillWait(maxWaitNanos)) {
			Optional<EndpointView> used = startNext(available, (job) -> true);
			if (used.isEmpty()) {
				return;
			}
			this.state.increment(Counter.SPILLS, 1);
			if (!hasFreeSlotForSpill(used.get())) {
				available.remove(used.get());
			}
		}
	}

	private boolean exceedsSpillWait(long maxWaitNanos) {
		return canPlanMore() && this.state.expectedWaitNanos(this.service, this.service.queue().queuedCount(),
				this.nowNanos) > maxWaitNanos;
	}

	private boolean canPlanMore() {
		return !this.service.queue().isEmpty()
				&& this.plannedStarts.size() < this.state.settings().maxStartsPerPassCount();
	}

	private boolean hasFreeSlot(EndpointView endpoint) {
		double budgetConfidence = 2 * this.service.retryBudget().remainingFraction() - 1;
		double requiredSlotCount = 1 - SLOT_OVERCOMMIT_FACTOR * budgetConfidence;
		return endpoint.acceptsStart(this.nowNanos)
				&& this.service.placement().availableSlotCount(endpoint, this.context) >= requiredSlotCount;
	}

	private boolean hasFreeSlotForSpill(EndpointView endpoint) {
		if (!endpoint.acceptsStart(this.nowNanos)) {
			return false;
		}
		boolean reportedIdle = this.state.peerReports()
			.reportsNoQueuedTasks(endpoint.spec().domain(), this.service.spec().name(), this.nowNanos);
		if (reportedIdle) {
			return endpoint.freeSlotCount(this.nowNanos, this.context.decayNanos()) >= MIN_FREE_SLOTS_FOR_SPILL;
		}
		return endpoint.outstandingCount() < endpoint.spillSlotCount();
	}

	private boolean withheldForSmallJobs(JobEntry job, List<EndpointView> available) {
		double availableSlotCount = available.stream()
			.mapToDouble((endpoint) -> this.service.placement().availableSlotCount(endpoint, this.context))
			.sum();
		double waitNanos = this.state.expectedWaitNanos(this.service, this.service.queue().queuedCount(),
				this.nowNanos);
		return this.service.smallJobReserve()
			.withholds(job, availableSlotCount, this.state.usableSlotCount(this.service, this.nowNanos), waitNanos,
					this.nowNanos);
	}

	private Optional<EndpointView> startNext(List<EndpointView> available, Predicate<JobEntry> eligible) {
		Optional<EndpointView> used = this.service.queue()
			.head()
			.filter(eligible)
			.flatMap((job) -> tryStart(job, available, false));
		if (used.isPresent() || this.service.queue().isEmpty()) {
			return used;
		}
		return this.service.queue()
			.candidates(CANDIDATE_JOB_COUNT)
			.stream()
			.filter(eligible)
			.flatMap((job) -> tryStart(job, available, false).stream())
			.findFirst();
	}

	private Optional<EndpointView> tryStart(JobEntry job, List<EndpointView> available, boolean probe) {
		OptionalInt index = job.nextTaskIndex(this.service.retryBudget().refillAndCheck(this.nowNanos));
		if (index.isEmpty()) {
			this.service.queue().defer(job);
			return Optional.empty();
		}
		TaskSpec spec = job.spec(index.getAsInt());
		double expectedNanos = this.service.runTimes().expectedNanos(spec);
		if (cannotMeetDeadline(job, expectedNanos)) {
			this.state.dropJob(job, ErrorCode.DEADLINE_UNREACHABLE,
					TimeMath.retryAfterMillis(job.queuedWorkNanos(), this.state.random()));
			return Optional.empty();
		}
		List<EndpointView> fitting = fittingEndpoints(job, spec, available);
		if (fitting.isEmpty()) {
			return Optional.empty();
		}
		EndpointView endpoint = this.service.placement().choose(fitting, this.context);
		start(job, index.getAsInt(), endpoint, expectedNanos, probe);
		return Optional.of(endpoint);
	}

	private boolean cannotMeetDeadline(JobEntry job, double expectedNanos) {
		return !job.started() && this.service.runTimes().reliable()
				&& job.deadlineNanos() - this.nowNanos < expectedNanos * MIN_REMAINING_RUN_FRACTION;
	}

	private List<EndpointView> fittingEndpoints(JobEntry job, TaskSpec spec, List<EndpointView> available) {
		boolean undemanding = spec.declaredMemoryMegabytes() <= 0 && spec.declaredAcceleratorCount() <= 0;
		if (undemanding && job.unfitEndpoints().isEmpty()) {
			return available;
		}
		return available.stream()
			.filter((endpoint) -> endpoint.fits(spec) && !job.unfitEndpoints().contains(endpoint.address()))
			.toList();
	}

	private void start(JobEntry job, int index, EndpointView endpoint, double expectedNanos, boolean probe) {
		this.state.teams().chargeStart(job.account(), expectedNanos, followsTeamOrder(job));
		this.service.queue().recordStart(job.request().urgent());
		this.service.queue().remove(job);
		countRetry(job.recordStart(index));
		if (job.queuedCount() > 0) {
			this.service.queue().add(job, this.state.usableSlotCount(this.service, this.nowNanos));
		}
		else {
			this.state.jobsByDeadline().remove(job);
		}
		TaskId id = new TaskId(job.ticket(), index);
		RunningTask task = new RunningTask(id, job.spec(index), job, this.service, endpoint, this.nowNanos,
				expectedNanos, probe);
		this.state.running().put(id, task);
		endpoint.addRunning(task);
		this.service.addRunning(1);
		this.service.overflowReserve().reset();
		this.state.increment(Counter.STARTS, 1);
		this.state.increment(Counter.PROBES, probe ? 1 : 0);
		this.plannedStarts.add(new StartCommand(id, task.spec(), endpoint.spec(), leaseMillis(job), probe));
	}

	private boolean followsTeamOrder(JobEntry job) {
		return !job.request().urgent() || !this.service.queue().hasRegularJobs();
	}

	private void countRetry(boolean retry) {
		if (retry) {
			this.service.retryBudget().recordRetry();
			this.state.increment(Counter.RETRIES, 1);
			return;
		}
		this.service.retryBudget().recordFirstStart();
	}

	private long leaseMillis(JobEntry job) {
		long maxMillis = this.service.spec().maxRunTimeMillis();
		long runMillis = (maxMillis > 0) ? maxMillis : this.state.settings().defaultMaxRunTimeMillis();
		return Math.max(1, Math.min(runMillis, TimeMath.toMillis(job.deadlineNanos() - this.nowNanos)));
	}

}
