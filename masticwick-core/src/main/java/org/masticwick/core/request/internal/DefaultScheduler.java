package org.masticwick.core.request.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.Admission;
import org.masticwick.core.request.Disposition;
import org.masticwick.core.request.Dropped;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.core.request.Start;
import org.masticwick.core.request.TaskEnd;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.Turn;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Starts tasks in the order of their arrival on the endpoint with the fewest outstanding.
 */
public final class DefaultScheduler implements Scheduler {

	private final Deque<Queued> queue = new ArrayDeque<>();

	private final Map<TaskId, Queued> running = new HashMap<>();

	private final Map<HostAddress, Integer> outstanding = new HashMap<>();

	private final Map<HostAddress, EndpointState> states = new HashMap<>();

	private final SchedulerSettings settings;

	private SiteVersion version = SiteVersion.EMPTY;

	/**
	 * Creates a scheduler.
	 * @param settings the bounds
	 * @param ownDomain the failure domain of the entry host
	 * @param self the entry host
	 * @param random the source of randomness
	 */
	public DefaultScheduler(SchedulerSettings settings, String ownDomain, EntryHost self, RandomGenerator random) {
		this.settings = settings;
	}

	@Override
	public synchronized Admission admit(JobSubmission job, long nowNanos) {
		if (!this.version.services().containsKey(job.request().service())) {
			return new Admission.Rejected(ErrorCode.UNKNOWN_SERVICE, 0, job.request().service());
		}
		for (int index = 0; index < job.request().tasks().size(); index++) {
			this.queue.add(new Queued(new TaskId(job.ticket(), index), job));
		}
		return new Admission.Admitted(0);
	}

	@Override
	public synchronized Turn next(long nowNanos) {
		List<Start> starts = new ArrayList<>();
		List<Dropped> dropped = new ArrayList<>();
		int count = this.queue.size();
		for (int place = 0; place < count; place++) {
			Queued queued = this.queue.remove();
			if (queued.job().deadlineNanos() <= nowNanos) {
				dropped.add(new Dropped(queued.task(), ErrorCode.DEADLINE_PASSED, 0));
				continue;
			}
			EndpointSpec endpoint = this.version.endpoints()
				.values()
				.stream()
				.filter((spec) -> spec.service().equals(queued.job().request().service()))
				.filter((spec) -> this.states.getOrDefault(spec.address(), EndpointState.LIVE) == EndpointState.LIVE)
				.filter((spec) -> this.outstanding.getOrDefault(spec.address(), 0) < spec.slotCount())
				.min(Comparator.comparing((spec) -> this.outstanding.getOrDefault(spec.address(), 0)))
				.orElse(null);
			if (endpoint == null) {
				this.queue.add(queued);
				continue;
			}
			this.outstanding.merge(endpoint.address(), 1, Integer::sum);
			this.running.put(queued.task(), queued);
			starts.add(new Start(queued.task(), queued.job().request().tasks().get(queued.task().index()), endpoint,
					this.settings.defaultMaxRunTimeMillis(), false));
		}
		long wake = this.queue.isEmpty() ? Turn.NEVER : (nowNanos + 5_000_000L);
		return new Turn(starts, dropped, wake);
	}

	@Override
	public synchronized Disposition ended(TaskId task, TaskEnd end, long nowNanos) {
		Queued queued = this.running.remove(task);
		if (queued == null) {
			return new Disposition.Done();
		}
		this.outstanding.merge(end.endpoint(), -1, Integer::sum);
		if (end.kind().notStarted()) {
			this.queue.addFirst(queued);
			return new Disposition.Requeued();
		}
		return new Disposition.Done();
	}

	@Override
	public synchronized List<TaskId> cancel(String ticket, long nowNanos) {
		List<TaskId> cancelled = this.queue.stream()
			.map(Queued::task)
			.filter((task) -> task.ticket().equals(ticket))
			.toList();
		this.queue.removeIf((queued) -> queued.task().ticket().equals(ticket));
		return cancelled;
	}

	@Override
	public synchronized void update(SiteVersion newVersion, long nowNanos) {
		this.version = newVersion;
	}

	@Override
	public synchronized void endpointState(HostAddress endpoint, EndpointState state, long nowNanos) {
		this.states.put(endpoint, state);
	}

	@Override
	public void peerLoad(EntryHost peer, LoadReport load, long nowNanos) {
	}

	@Override
	public void peerGone(EntryHost peer) {
	}

	@Override
	public LoadReport load(long nowNanos) {
		return LoadReport.EMPTY;
	}

	@Override
	public synchronized SchedulerSnapshot snapshot(long nowNanos) {
		return new SchedulerSnapshot(this.version.number(), "", List.of(), List.of(), List.of(), Map.of());
	}

	private record Queued(TaskId task, JobSubmission job) {

	}

}
