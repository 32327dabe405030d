package org.masticwick.core.request.internal;

import java.util.List;
import java.util.random.RandomGenerator;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.Admission;
import org.masticwick.core.request.Disposition;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.core.request.SchedulingDecisions;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.version.SiteVersion;

/**
 * The scheduler, composed of its parts and guarded by a single lock. Each call is short,
 * so finer-grained locks would cost more than they gain.
 */
public final class DefaultScheduler implements Scheduler {

	private final SchedulerState state;

	private final AdmissionControl admission;

	private final PassPlanner passPlanner;

	private final OutcomeHandler outcomeHandler;

	private final VersionUpdater versionUpdater;

	private final LoadReporter loadReporter;

	/**
	 * Creates a scheduler.
	 * @param settings the bounds
	 * @param ownDomain the failure domain of the entry host
	 * @param self the entry host
	 * @param random the source of randomness
	 */
	public DefaultScheduler(SchedulerSettings settings, String ownDomain, EntryHost self, RandomGenerator random) {
		this.state = new SchedulerState(settings, ownDomain, self, random);
		EjectionControl ejection = new EjectionControl(this.state);
		this.admission = new AdmissionControl(this.state);
		this.passPlanner = new PassPlanner(this.state, ejection);
		this.outcomeHandler = new OutcomeHandler(this.state, ejection);
		this.versionUpdater = new VersionUpdater(this.state);
		this.loadReporter = new LoadReporter(this.state);
	}

	@Override
	public synchronized Admission admit(JobSubmission job, long nowNanos) {
		return this.admission.admit(job, nowNanos);
	}

	@Override
	public synchronized SchedulingDecisions schedule(long nowNanos) {
		return this.passPlanner.plan(nowNanos);
	}

	@Override
	public synchronized Disposition recordOutcome(TaskId task, StartOutcome outcome, long nowNanos) {
		return this.outcomeHandler.handle(task, outcome, nowNanos);
	}

	@Override
	public synchronized List<TaskId> cancel(String ticket, long nowNanos) {
		JobEntry job = this.state.jobs().get(ticket);
		return (job != null) ? this.state.closeJob(job) : List.of();
	}

	@Override
	public synchronized void updateVersion(SiteVersion version, long nowNanos) {
		if (version.number() > this.state.version().number()) {
			this.versionUpdater.update(version, nowNanos);
		}
	}

	@Override
	public synchronized void updateEndpointState(HostAddress endpoint, EndpointState newState, long nowNanos) {
		if (newState == EndpointState.LIVE) {
			this.state.reportedStates().remove(endpoint);
		}
		else {
			this.state.reportedStates().put(endpoint, newState);
		}
		EndpointView view = this.state.endpoints().get(endpoint);
		if (view != null && view.state() != newState) {
			view.updateState(newState, nowNanos);
			this.state.assignOwners();
		}
	}

	@Override
	public synchronized void recordPeerLoad(EntryHost peer, LoadReport load, long nowNanos) {
		this.loadReporter.recordPeerLoad(peer, load, nowNanos);
	}

	@Override
	public synchronized void removePeer(EntryHost peer) {
		this.loadReporter.removePeer(peer);
	}

	@Override
	public synchronized LoadReport loadReport(long nowNanos) {
		return this.loadReporter.loadReport(nowNanos);
	}

	@Override
	public synchronized SchedulerSnapshot snapshot(long nowNanos) {
		return this.loadReporter.snapshot(nowNanos);
	}

}
