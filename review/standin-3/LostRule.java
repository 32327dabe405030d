package review3;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The part of the rule LOST that is watched after the end of the traffic: for 3 s, a job
 * has nothing running while a task's turn has come, there is capacity for it twice over,
 * and under half of the service's capacity is in use.
 */
final class LostRule {

	private static final long SPAN_MILLIS = 3_000;

	/** A little more than the span. */
	private static final long WATCH_MILLIS = 3_500;

	private static final long SAMPLE_MILLIS = 50;

	private static final double MAX_USED_SHARE = 0.5;

	private final Site site;

	LostRule(Site site) {
		this.site = site;
	}

	/**
	 * Watches jobs, and records those that break the rule. Must be called {@code finish_s}
	 * after the end of the traffic.
	 * @param jobs the accepted jobs
	 * @return how many broke the rule
	 */
	int watch(List<ScheduledJob> jobs) {
		Map<ScheduledJob, Long> waitingSince = new HashMap<>();
		Set<ScheduledJob> lost = new HashSet<>();
		double maxUsedShare = 0;
		long untilMillis = Clock.nowMillis() + WATCH_MILLIS;
		while (Clock.nowMillis() < untilMillis) {
			long nowMillis = Clock.nowMillis();
			maxUsedShare = Math.max(maxUsedShare, this.site.usedShare());
			for (ScheduledJob job : jobs) {
				if (!waits(job)) {
					waitingSince.remove(job);
				}
				else if (nowMillis - waitingSince.computeIfAbsent(job, (key) -> nowMillis) >= SPAN_MILLIS) {
					lost.add(job);
				}
			}
			Clock.sleep(SAMPLE_MILLIS);
		}
		record(jobs, lost, maxUsedShare);
		return lost.size();
	}

	private boolean waits(ScheduledJob job) {
		List<Run> runs = runsOf(job);
		long doneTasks = runs.stream().filter(Run::isDone).map((run) -> run.task).distinct().count();
		int waitingTasks = job.dueTaskCount(System.currentTimeMillis()) - (int) doneTasks;
		return waitingTasks > 0 && runs.stream().allMatch((run) -> run.endMillis >= 0)
				&& this.site.usedShare() < MAX_USED_SHARE
				&& this.site.freeTaskCount(job.cpuMillicores()) >= 2 * waitingTasks;
	}

	private List<Run> runsOf(ScheduledJob job) {
		return this.site.ledger.find((run) -> run.jobId().equals(job.jobId()));
	}

	private void record(List<ScheduledJob> jobs, Set<ScheduledJob> lost, double maxUsedShare) {
		for (ScheduledJob job : jobs) {
			String state = this.site.send(this.site.hosts.get(0), "GET", job.jobId(), "", 4_000).text();
			long doneTasks = runsOf(job).stream().filter(Run::isDone).map((run) -> run.task).distinct().count();
			this.site.record.line((lost.contains(job) ? "LOST: " : "") + job.jobId() + " has " + doneTasks + " of "
					+ job.dueTaskCount(System.currentTimeMillis()) + " due tasks done, is shown as " + state);
		}
		this.site.record.line(lost.size() + " of " + jobs.size() + " accepted jobs have had nothing running for "
				+ SPAN_MILLIS + " ms though a task's turn has come; in use was at most a share of " + maxUsedShare);
	}

}
