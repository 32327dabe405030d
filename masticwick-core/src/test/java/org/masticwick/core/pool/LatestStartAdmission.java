package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Admits jobs by latest start time alone, whatever their priority, with a fixed usable
 * share and a fixed bound on the backlog. Tests compare {@link LoadShedding} with it.
 */
final class LatestStartAdmission implements AdmissionPolicy {

	private static final double USABLE_SHARE = 0.84;

	private static final double MAX_BACKLOG_FOR_LATE_MILLIS = 60;

	@Override
	public List<Refusal> select(PooledJob job, JobQueue queue, PoolCapacity capacity, long nowMillis) {
		PoolCapacity usable = new PoolCapacity(capacity.totalMillicores(), USABLE_SHARE);
		List<PooledJob> ahead = new ArrayList<>();
		queue.forEachOnTime(false, nowMillis, ahead::add);
		double workAhead = ahead.stream()
			.takeWhile((each) -> each.latestStartMillis() <= job.latestStartMillis())
			.filter((each) -> each != job)
			.mapToDouble(PooledJob::readyWork)
			.sum();
		double waitMillis = usable.drainMillis(workAhead);
		double backlogMillis = usable.drainMillis(queue.work() - job.readyWork());
		double startMillis = nowMillis + waitMillis;
		if (startMillis + job.expectedMillis() > job.latestUsefulMillis()
				|| startMillis > job.latestStartMillis() && backlogMillis > MAX_BACKLOG_FOR_LATE_MILLIS) {
			return List.of(new Refusal(job, "would-be-late", waitMillis, backlogMillis));
		}
		return List.of();
	}

	@Override
	public boolean shouldCancelWaiting(PooledJob job, double backlogMillis, long nowMillis) {
		boolean tooLate = nowMillis + job.expectedMillis() > job.latestUsefulMillis();
		boolean late = nowMillis > job.latestStartMillis();
		return tooLate || late && backlogMillis > MAX_BACKLOG_FOR_LATE_MILLIS;
	}

}
