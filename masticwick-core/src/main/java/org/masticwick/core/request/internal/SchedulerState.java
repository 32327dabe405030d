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
 * The state shared by the parts of the scheduler, guarded by the scheduler's lock.
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
	 * Creates the state of a scheduler without a site version, jobs and peers.
	 * @param settings the limits
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
	 * Recomputes which host of the own failure domain owns which live endpoint.
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
	 * Applies a new version of the site.
	 * @param newVersion the version
	 */
	void applyVersion(SiteVersion newVersion) {
		this.version = newVersion;
		this.rules = DispatchRules.of(newVersion.rules());
	}

	/**
	 * Removes a job from the queue, so that its queued tasks are never started.
	 * @param job the job
	 * @return the tasks that were queued
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
	 * Removes a job from the queue. Its queued tasks are reported as dropped by the next
	 * scheduling pass.
	 * @param job the job
	 * @param code the reason why the job is dropped
	 * @param retryAfterMillis the delay after which the caller may submit the job again,
	 * in milliseconds; 0 if another attempt would fail as well
	 */
	void dropJob(JobEntry job, ErrorCode code, long retryAfterMillis) {
		closeJob(job).forEach((task) -> this.droppedTasks.add(new DroppedTask(task, code, retryAfterMillis)));
	}

	/**
	 * Returns the tasks that were dropped since the last call.
	 * @return the dropped tasks
	 */
	List<DroppedTask> drainDroppedTasks() {
		List<DroppedTask> drained = List.copyOf(this.droppedTasks);
		this.droppedTasks.clear();
		increment(Counter.DROPPED_TASKS, drained.size());
		return drained;
	}

	/**
	 * Removes a job if none of its tasks is queued or running, and the account of its
	 * team if it is idle.
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
	 * Returns the inputs of placement decisions for a service.
	 * @param service the service
	 * @param nowNanos the current time
	 * @return the context
	 */
	PlacementContext placementContext(ServiceState service, long nowNanos) {
		int reserveCount = service.overflowReserve()
			.reservedCount(this.rules.weighting().overflowReserveCount(), nowNanos);
		return new PlacementContext(nowNanos, service.spec().name(), service.runTimes().meanNanos(), this.self,
				this.hosts, this.ownership, this.peerReports, reserveCount, this.random);
	}

	/**
	 * Returns the expected queue wait of a task.
	 * @param service the service
	 * @param queuedCount the number of tasks queued before it
	 * @param nowNanos the current time
	 * @return the time in nanoseconds
	 */
	double expectedWaitNanos(ServiceState service, int queuedCount, long nowNanos) {
		return service.expectedWaitNanos(queuedCount, this.hosts.size(), nowNanos);
	}

	double usableSlotCount(ServiceState service, long nowNanos) {
		return service.usableSlotCount(this.hosts.size(), nowNanos);
	}

	/**
	 * Returns whether a job can't complete until a drained failure domain is returned to
	 * service, because one of its tasks fits no other endpoint that accepts tasks.
	 * @param service the service of the job
	 * @param job the job
	 * @return {@code true} if so
	 */
	boolean requiresDrainedEndpoint(ServiceState service, JobEntry job) {
		return !this.rules.drainedDomains().isEmpty() && service.requiresDrainedEndpoint(job);
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
	 * Returns the reported states other than {@link EndpointState#LIVE}, including those
	 * of endpoints that are not part of the active version.
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
