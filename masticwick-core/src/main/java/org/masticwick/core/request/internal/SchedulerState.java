package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.DispatchRules;
import org.masticwick.core.request.DroppedTask;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.SiteVersion;

/**
 * Holds what the parts of the scheduler share. Guarded by the lock of the scheduler.
 */
final class SchedulerState {

	private final Map<String, ServiceState> services = new TreeMap<>();

	private final Map<HostAddress, EndpointView> endpoints = new HashMap<>();

	private final Map<HostAddress, EndpointState> reportedStates = new HashMap<>();

	private final Map<String, JobEntry> jobs = new HashMap<>();

	private final NavigableSet<JobEntry> jobsByDeadline = new TreeSet<>(JobEntry.BY_DEADLINE);

	private final Map<TaskId, RunningTask> running = new HashMap<>();

	private final Map<Counter, Long> counters = new EnumMap<>(Counter.class);

	private final List<DroppedTask> droppedTasks = new ArrayList<>();

	private final SchedulerSettings settings;

	private final String ownDomain;

	private final EntryHost self;

	private final RandomGenerator random;

	private final PeerReports peerReports;

	private final TeamAccounts teams;

	private SiteVersion version = SiteVersion.EMPTY;

	private DispatchRules rules = DispatchRules.of(Rules.NONE);

	private List<EntryHost> hosts;

	private Ownership ownership;

	/**
	 * Creates the state of a scheduler that knows nothing.
	 * @param settings the bounds
	 * @param ownDomain the failure domain of this host
	 * @param self this host
	 * @param random the source of randomness
	 */
	SchedulerState(SchedulerSettings settings, String ownDomain, EntryHost self, RandomGenerator random) {
		this.settings = settings;
		this.ownDomain = ownDomain;
		this.self = self;
		this.random = random;
		this.peerReports = new PeerReports(self);
		this.teams = new TeamAccounts(this.rules);
		assignOwners();
	}

	/**
	 * Divides the endpoints of the domain anew.
	 */
	void assignOwners() {
		this.hosts = this.peerReports.hosts(this.ownDomain);
		this.ownership = Ownership.assign(this.endpoints.values()
			.stream()
			.filter(EndpointView::live)
			.map(EndpointView::spec)
			.filter((spec) -> spec.domain().equals(this.ownDomain))
			.toList(), this.hosts);
		this.services.values().forEach(ServiceState::invalidateSlotCount);
	}

	/**
	 * Takes over a version.
	 * @param newVersion the version
	 */
	void applyVersion(SiteVersion newVersion) {
		this.version = newVersion;
		this.rules = DispatchRules.of(newVersion.rules());
	}

	/**
	 * Takes a job out of the queue; its tasks that wait are never started.
	 * @param job the job
	 * @return the tasks that waited
	 */
	List<TaskId> closeJob(JobEntry job) {
		if (job.queue() != null) {
			this.services.get(job.request().service()).queue().remove(job);
		}
		List<TaskId> queuedTasks = job.close();
		this.jobsByDeadline.remove(job);
		removeIfFinished(job);
		return queuedTasks;
	}

	/**
	 * Takes a job out of the queue and keeps its tasks that waited for the next turn to
	 * tell.
	 * @param job the job
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds from now
	 */
	void dropJob(JobEntry job, ErrorCode code, long retryAfterMillis) {
		closeJob(job).forEach((task) -> this.droppedTasks.add(new DroppedTask(task, code, retryAfterMillis)));
	}

	/**
	 * Returns what was dropped since the last call.
	 * @return the tasks
	 */
	List<DroppedTask> drainDroppedTasks() {
		List<DroppedTask> drained = List.copyOf(this.droppedTasks);
		this.droppedTasks.clear();
		increment(Counter.DROPPED_TASKS, drained.size());
		return drained;
	}

	/**
	 * Forgets a job of which no task waits or runs.
	 * @param job the job
	 */
	void removeIfFinished(JobEntry job) {
		if (job.queuedCount() == 0) {
			this.jobsByDeadline.remove(job);
			if (job.runningCount() == 0) {
				this.jobs.remove(job.ticket(), job);
			}
		}
		this.teams.removeIfIdle(job.account());
	}

	/**
	 * Returns what a placement policy may look at.
	 * @param service the service
	 * @param nowNanos the time
	 * @return the context
	 */
	PlacementContext placementContext(ServiceState service, long nowNanos) {
		int reserveCount = service.overflowReserve()
			.reservedCount(this.rules.weighting().overflowReserveCount(), nowNanos);
		return new PlacementContext(nowNanos, service.spec().name(), service.runTimes().meanNanos(), this.self,
				this.hosts, this.ownership, this.peerReports, reserveCount, this.random);
	}

	/**
	 * Returns how long a job that arrives now is expected to wait.
	 * @param service the service
	 * @param queuedCount how many tasks go before it
	 * @param nowNanos the time
	 * @return the time in nanoseconds
	 */
	double expectedWaitNanos(ServiceState service, int queuedCount, long nowNanos) {
		return service.expectedWaitNanos(queuedCount, this.hosts.size(), nowNanos);
	}

	double usableSlotCount(ServiceState service, long nowNanos) {
		return service.usableSlotCount(this.hosts.size(), nowNanos);
	}

	void increment(Counter counter, long added) {
		this.counters.merge(counter, added, Long::sum);
	}

	Map<String, ServiceState> services() {
		return this.services;
	}

	Map<HostAddress, EndpointView> endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the states that were told and are not live, also of endpoints that aren't
	 * in the version.
	 * @return the states by address
	 */
	Map<HostAddress, EndpointState> reportedStates() {
		return this.reportedStates;
	}

	Map<String, JobEntry> jobs() {
		return this.jobs;
	}

	NavigableSet<JobEntry> jobsByDeadline() {
		return this.jobsByDeadline;
	}

	Map<TaskId, RunningTask> running() {
		return this.running;
	}

	Map<Counter, Long> counters() {
		return this.counters;
	}

	SchedulerSettings settings() {
		return this.settings;
	}

	String ownDomain() {
		return this.ownDomain;
	}

	RandomGenerator random() {
		return this.random;
	}

	PeerReports peerReports() {
		return this.peerReports;
	}

	TeamAccounts teams() {
		return this.teams;
	}

	SiteVersion version() {
		return this.version;
	}

	DispatchRules rules() {
		return this.rules;
	}

	List<EntryHost> hosts() {
		return this.hosts;
	}

}
