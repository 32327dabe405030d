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
 * Chooses the starts of one service in one turn: usual starts in the own domain, probes,
 * and starts in other domains once the wait outweighs the hop.
 */
final class StartPlanner {

	private static final int LOOK_AHEAD_COUNT = 16;

	private static final int PROBE_TASK_COUNT = 4;

	private static final long PROBE_PATIENCE_NANOS = 2_000_000_000L;

	private static final double HOPELESS_PART = 0.5;

	private static final double EAGERNESS = 0.25;

	private static final int SPILL_RESERVE_COUNT = 2;

	private static final int BLIND_SPILL_DIVISOR = 4;

	private final SchedulerState state;

	private final ServiceState service;

	private final PlacementContext context;

	private final List<StartCommand> starts;

	private final long nowNanos;

	/**
	 * Creates a planner for one turn.
	 * @param state the state
	 * @param service the service
	 * @param nowNanos the time
	 * @param starts where to put the starts
	 */
	StartPlanner(SchedulerState state, ServiceState service, long nowNanos, List<StartCommand> starts) {
		this.state = state;
		this.service = service;
		this.context = state.placementContext(service, nowNanos);
		this.nowNanos = nowNanos;
		this.starts = starts;
	}

	/**
	 * Adds the starts.
	 */
	void plan() {
		if (this.service.retryBudget().allows(this.nowNanos)) {
			this.service.queue()
				.unpark((long) this.service.retryBudget().tokenCount(),
						this.state.slotCount(this.service, this.nowNanos));
		}
		planProbes(this.service.local());
		planLocal();
		planSpill();
	}

	private void planProbes(List<EndpointView> endpoints) {
		endpoints.stream()
			.filter((endpoint) -> endpoint.probeDue(this.nowNanos))
			.takeWhile((endpoint) -> mayStart())
			.forEach((endpoint) -> probeJob(endpoint).ifPresent((job) -> tryJob(job, List.of(endpoint), true)));
	}

	private Optional<JobEntry> probeJob(EndpointView endpoint) {
		boolean overdue = this.nowNanos - endpoint.health().untilNanos() > PROBE_PATIENCE_NANOS;
		return this.service.queue()
			.heads(LOOK_AHEAD_COUNT)
			.stream()
			.filter((job) -> overdue || littleHarm(job))
			.findFirst();
	}

	private boolean littleHarm(JobEntry job) {
		return !job.request().urgent() && job.request().tasks().size() <= PROBE_TASK_COUNT;
	}

	private void planLocal() {
		List<EndpointView> free = new ArrayList<>();
		this.service.local().stream().filter(this::hasRoom).forEach(free::add);
		while (mayStart() && !free.isEmpty()) {
			Optional<EndpointView> used = startNext(free, (job) -> !heldBack(job, free));
			if (used.isEmpty()) {
				return;
			}
			if (!hasRoom(used.get())) {
				free.remove(used.get());
			}
		}
	}

	private void planSpill() {
		boolean unserved = this.service.local().stream().noneMatch(EndpointView::live);
		long maxWaitNanos = unserved ? -1 : Times.toNanos(this.state.rules().spillWaitMillis());
		if (!spills(maxWaitNanos)) {
			return;
		}
		planProbes(this.service.remote());
		List<EndpointView> free = new ArrayList<>();
		this.service.remote().stream().filter(this::hasSpillRoom).forEach(free::add);
		while (mayStart() && !free.isEmpty() && spills(maxWaitNanos)) {
			Optional<EndpointView> used = startNext(free, (job) -> true);
			if (used.isEmpty()) {
				return;
			}
			this.state.count(Counter.SPILLS, 1);
			if (!hasSpillRoom(used.get())) {
				free.remove(used.get());
			}
		}
	}

	private boolean spills(long maxWaitNanos) {
		return mayStart()
				&& this.state.waitNanos(this.service, this.service.queue().queuedCount(), this.nowNanos) > maxWaitNanos;
	}

	private boolean mayStart() {
		return !this.service.queue().isEmpty() && this.starts.size() < this.state.settings().maxStartsPerPassCount();
	}

	private boolean hasRoom(EndpointView endpoint) {
		double confidence = 2 * this.service.retryBudget().level() - 1;
		double needed = 1 - EAGERNESS * confidence;
		return endpoint.open(this.nowNanos) && this.service.placement().room(endpoint, this.context) >= needed;
	}

	private boolean hasSpillRoom(EndpointView endpoint) {
		if (!endpoint.open(this.nowNanos)) {
			return false;
		}
		int slotCount = endpoint.spec().slotCount();
		boolean idle = this.state.peers().idle(endpoint.spec().domain(), this.service.spec().name(), this.nowNanos);
		if (idle) {
			return endpoint.freeCount(this.nowNanos, this.context.fadeNanos()) >= SPILL_RESERVE_COUNT;
		}
		return endpoint.outstandingCount() < Math.max(1, slotCount / BLIND_SPILL_DIVISOR);
	}

	private boolean heldBack(JobEntry job, List<EndpointView> free) {
		double roomCount = free.stream()
			.mapToDouble((endpoint) -> this.service.placement().room(endpoint, this.context))
			.sum();
		double waitNanos = this.state.waitNanos(this.service, this.service.queue().queuedCount(), this.nowNanos);
		return this.service.smallJobReserve()
			.holdsBack(job, roomCount, this.state.slotCount(this.service, this.nowNanos), waitNanos, this.nowNanos);
	}

	private Optional<EndpointView> startNext(List<EndpointView> free, Predicate<JobEntry> allowed) {
		Optional<EndpointView> used = this.service.queue()
			.head()
			.filter(allowed)
			.flatMap((job) -> tryJob(job, free, false));
		if (used.isPresent() || this.service.queue().isEmpty()) {
			return used;
		}
		return this.service.queue()
			.heads(LOOK_AHEAD_COUNT)
			.stream()
			.filter(allowed)
			.flatMap((job) -> tryJob(job, free, false).stream())
			.findFirst();
	}

	private Optional<EndpointView> tryJob(JobEntry job, List<EndpointView> free, boolean probe) {
		OptionalInt index = job.peek(this.service.retryBudget().allows(this.nowNanos));
		if (index.isEmpty()) {
			this.service.queue().park(job);
			return Optional.empty();
		}
		TaskSpec spec = job.spec(index.getAsInt());
		double expectedNanos = this.service.runTimes().expectedNanos(spec);
		if (hopeless(job, expectedNanos)) {
			this.state.drop(job, ErrorCode.DEADLINE_UNREACHABLE,
					Times.retryAfterMillis(job.queuedWorkNanos(), this.state.random()));
			return Optional.empty();
		}
		List<EndpointView> fitting = fitting(job, spec, free);
		if (fitting.isEmpty()) {
			return Optional.empty();
		}
		EndpointView endpoint = this.service.placement().choose(fitting, this.context);
		start(job, index.getAsInt(), endpoint, expectedNanos, probe);
		return Optional.of(endpoint);
	}

	private boolean hopeless(JobEntry job, double expectedNanos) {
		return !job.started() && this.service.runTimes().trusted()
				&& job.deadlineNanos() - this.nowNanos < expectedNanos * HOPELESS_PART;
	}

	private List<EndpointView> fitting(JobEntry job, TaskSpec spec, List<EndpointView> free) {
		boolean undemanding = spec.declaredMemoryMegabytes() <= 0 && spec.declaredAcceleratorCount() <= 0;
		if (undemanding && job.unfitEndpoints().isEmpty()) {
			return free;
		}
		return free.stream()
			.filter((endpoint) -> endpoint.fits(spec) && !job.unfitEndpoints().contains(endpoint.address()))
			.toList();
	}

	private void start(JobEntry job, int index, EndpointView endpoint, double expectedNanos, boolean probe) {
		this.state.teams().started(job.account(), expectedNanos, inTurn(job));
		this.service.queue().started(job.request().urgent());
		this.service.queue().remove(job);
		countRetry(job.take(index));
		if (job.queuedCount() > 0) {
			this.service.queue().add(job, this.state.slotCount(this.service, this.nowNanos));
		}
		else {
			this.state.jobsByDeadline().remove(job);
		}
		TaskId id = new TaskId(job.ticket(), index);
		RunningTask task = new RunningTask(id, job.spec(index), job, this.service, endpoint, this.nowNanos,
				expectedNanos, probe);
		this.state.running().put(id, task);
		endpoint.started(task);
		this.service.addRunning(1);
		this.service.overflowReserve().started();
		this.state.count(Counter.STARTS, 1);
		this.state.count(Counter.PROBES, probe ? 1 : 0);
		this.starts.add(new StartCommand(id, task.spec(), endpoint.spec(), leaseMillis(job), probe));
	}

	private boolean inTurn(JobEntry job) {
		return !job.request().urgent() || !this.service.queue().usualWaits();
	}

	private void countRetry(boolean retry) {
		if (retry) {
			this.service.retryBudget().retried();
			this.state.count(Counter.RETRIES, 1);
			return;
		}
		this.service.retryBudget().started();
	}

	private long leaseMillis(JobEntry job) {
		long maxMillis = this.service.spec().maxRunTimeMillis();
		long runMillis = (maxMillis > 0) ? maxMillis : this.state.settings().defaultMaxRunTimeMillis();
		return Math.max(1, Math.min(runMillis, Times.toMillis(job.deadlineNanos() - this.nowNanos)));
	}

}
