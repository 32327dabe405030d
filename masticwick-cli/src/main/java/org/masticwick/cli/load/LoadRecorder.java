package org.masticwick.cli.load;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.masticwick.cli.request.JobAnswer;
import org.masticwick.core.request.JobRequest;

/**
 * Collects what became of the jobs of a load run.
 */
final class LoadRecorder {

	/** What one count of the histograms of ratios stands for. */
	static final double RATIO_UNIT = 0.001;

	/** What one count of the histograms of response times stands for, in milliseconds. */
	static final double RESPONSE_UNIT_MILLIS = 0.001;

	private static final int DIGITS = 3;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final LoadOptions options;

	private final Histogram singleRatios = new ConcurrentHistogram(DIGITS);

	private final Histogram jobRatios = new ConcurrentHistogram(DIGITS);

	private final Histogram singleResponses = new ConcurrentHistogram(DIGITS);

	private final Histogram jobResponses = new ConcurrentHistogram(DIGITS);

	private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> problems = new ConcurrentHashMap<>();

	private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> taskCounts = new ConcurrentHashMap<>();

	private final Set<String> refusedTickets = ConcurrentHashMap.newKeySet();

	private final Set<String> completeTickets = ConcurrentHashMap.newKeySet();

	private final List<SecondCounts> seconds;

	private final LongAdder completeTasks = new LongAdder();

	private final LongAdder completeWorkMillis = new LongAdder();

	private final Map<String, LongAdder> teamWorkMillis = new ConcurrentHashMap<>();

	private final Histogram sendLags = new ConcurrentHistogram(DIGITS);

	LoadRecorder(LoadOptions options) {
		this.options = options;
		int secondCount = (int) TimeUnit.MILLISECONDS.toSeconds(options.durationMillis()) + 1;
		this.seconds = IntStream.range(0, secondCount).mapToObj((second) -> new SecondCounts()).toList();
	}

	/**
	 * Notes that a job is sent under a ticket.
	 * @param ticket the ticket
	 * @param job the job
	 */
	void addTicket(String ticket, PlannedJob job) {
		this.taskCounts.put(ticket, job.taskCount());
	}

	/**
	 * Notes how late the tool itself sent a job, after the warm-up.
	 * @param job the job
	 * @param nowNanos when it was sent, in nanoseconds from the start of the run
	 */
	void addSendLag(PlannedJob job, long nowNanos) {
		if (job.offsetNanos() >= TimeUnit.MILLISECONDS.toNanos(this.options.warmupMillis())) {
			long lagNanos = Math.max(0, nowNanos - job.offsetNanos());
			this.sendLags.recordValue(TimeUnit.NANOSECONDS.toMicros(lagNanos));
		}
	}

	/**
	 * Notes an answer.
	 * @param job the job
	 * @param request the request that was made of it
	 * @param answer the answer
	 * @param cancelled whether the job was cancelled
	 * @param nowNanos when the answer came, in nanoseconds from the start of the run
	 */
	void add(PlannedJob job, JobRequest request, JobAnswer answer, boolean cancelled, long nowNanos) {
		SecondCounts second = this.seconds.get((int) TimeUnit.NANOSECONDS.toSeconds(job.offsetNanos()));
		if (answer instanceof JobAnswer.Complete complete) {
			AnswerCheck.check(request, complete).ifPresent(this.violations::add);
			this.completeTickets.add(answer.ticket());
			second.addComplete(addComplete(job, nowNanos));
			count("complete");
		}
		else if (answer instanceof JobAnswer.Refused refused) {
			this.refusedTickets.add(answer.ticket());
			countProblem(cancelled ? "cancelled" : "refused", refused.problem().code());
			second.addRefused();
		}
		else if (answer instanceof JobAnswer.Failed failed) {
			countProblem(cancelled ? "cancelled" : "failed", failed.problem().code());
			if (!cancelled) {
				second.addFailed();
			}
		}
		else {
			String code = (answer instanceof JobAnswer.Unknown unknown) ? unknown.problem().code() : "running";
			countProblem("unknown", code);
			second.addUnknown();
		}
	}

	/**
	 * Notes that a job could not be sent, since no host gave a ticket.
	 * @param job the job
	 */
	void addUnsent(PlannedJob job) {
		countProblem("refused", "no-ticket");
		this.seconds.get((int) TimeUnit.NANOSECONDS.toSeconds(job.offsetNanos())).addRefused();
	}

	/**
	 * Compares the answers of two submissions under one ticket.
	 * @param first an answer
	 * @param second the other answer
	 */
	void compare(JobAnswer first, JobAnswer second) {
		count("resubmitted");
		boolean bothComplete = first instanceof JobAnswer.Complete && second instanceof JobAnswer.Complete;
		boolean contrary = first instanceof JobAnswer.Refused && ran(second)
				|| ran(first) && second instanceof JobAnswer.Refused;
		if (contrary || bothComplete && !first.equals(second)) {
			this.violations
				.add(new Violation(Violation.Type.DIFFERENT_ANSWERS, first.ticket(), first + " and " + second));
		}
	}

	/**
	 * Checks the starts of all jobs.
	 * @param audit what the workers started
	 */
	void check(StartAudit audit) {
		this.violations.addAll(audit.check(this.taskCounts, this.refusedTickets, this.completeTickets));
	}

	List<Violation> violations() {
		return List.copyOf(this.violations);
	}

	Map<String, Integer> taskCounts() {
		return this.taskCounts;
	}

	Map<String, Long> outcomes() {
		return sums(this.outcomes);
	}

	Map<String, Long> problems() {
		return sums(this.problems);
	}

	List<SecondCounts.Row> timeline() {
		return IntStream.range(0, this.seconds.size())
			.mapToObj((second) -> this.seconds.get(second).row(second))
			.toList();
	}

	/**
	 * Returns the tasks of jobs whose complete answers came while jobs were sent, after
	 * the warm-up.
	 * @return the count
	 */
	long completeTaskCount() {
		return this.completeTasks.sum();
	}

	/**
	 * Returns the work of the same jobs.
	 * @return the work in milliseconds
	 */
	long completeWorkMillis() {
		return this.completeWorkMillis.sum();
	}

	Map<String, Long> teamWorkMillis() {
		return sums(this.teamWorkMillis);
	}

	Quantiles sendLagsMillis() {
		return Quantiles.of(this.sendLags, RESPONSE_UNIT_MILLIS);
	}

	Quantiles ratios(boolean single) {
		return Quantiles.of(single ? this.singleRatios : this.jobRatios, RATIO_UNIT);
	}

	Quantiles responsesMillis(boolean single) {
		return Quantiles.of(single ? this.singleResponses : this.jobResponses, RESPONSE_UNIT_MILLIS);
	}

	private double addComplete(PlannedJob job, long nowNanos) {
		double responseMillis = (nowNanos - job.offsetNanos()) / NANOS_PER_MILLI;
		double ratio = responseMillis / job.idealMillis(this.options.slotCount());
		long warmupNanos = TimeUnit.MILLISECONDS.toNanos(this.options.warmupMillis());
		if (nowNanos >= warmupNanos && nowNanos < TimeUnit.MILLISECONDS.toNanos(this.options.durationMillis())) {
			this.completeTasks.add(job.taskCount());
			this.completeWorkMillis.add(job.workMillis());
			this.teamWorkMillis.computeIfAbsent(job.teamName(), (team) -> new LongAdder()).add(job.workMillis());
		}
		if (job.offsetNanos() >= warmupNanos) {
			boolean single = job.taskCount() == 1;
			(single ? this.singleRatios : this.jobRatios).recordValue(Math.max(0, Math.round(ratio / RATIO_UNIT)));
			(single ? this.singleResponses : this.jobResponses)
				.recordValue(Math.max(0, Math.round(responseMillis / RESPONSE_UNIT_MILLIS)));
		}
		return ratio;
	}

	private static boolean ran(JobAnswer answer) {
		return answer instanceof JobAnswer.Complete || answer instanceof JobAnswer.Failed;
	}

	private void countProblem(String outcome, String code) {
		count(outcome);
		this.problems.computeIfAbsent(outcome + "/" + code, (key) -> new LongAdder()).increment();
	}

	private void count(String outcome) {
		this.outcomes.computeIfAbsent(outcome, (key) -> new LongAdder()).increment();
	}

	private static Map<String, Long> sums(Map<String, LongAdder> adders) {
		Map<String, Long> sums = new TreeMap<>();
		adders.forEach((name, adder) -> sums.put(name, adder.sum()));
		return sums;
	}

}
