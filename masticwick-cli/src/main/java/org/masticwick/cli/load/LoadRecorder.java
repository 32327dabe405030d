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
 * Records the outcomes, response times and violations of a load run. Answers may be
 * recorded by several threads at once.
 */
final class LoadRecorder {

	/** The ratio that one unit of the integer histograms of ratios represents. */
	static final double RATIO_UNIT = 0.001;

	/**
	 * The time that one unit of the histograms of response times and send lags
	 * represents, in milliseconds.
	 */
	static final double RESPONSE_UNIT_MILLIS = 0.001;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final LoadOptions options;

	private final Histogram singleRatios = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram jobRatios = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram singleResponseTimes = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram jobResponseTimes = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> problems = new ConcurrentHashMap<>();

	private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> taskCountsByTicket = new ConcurrentHashMap<>();

	private final Set<String> refusedTickets = ConcurrentHashMap.newKeySet();

	private final Set<String> completeTickets = ConcurrentHashMap.newKeySet();

	private final List<SecondCounts> countsBySecond;

	private final LongAdder completeTaskCount = new LongAdder();

	private final LongAdder completeWorkMillis = new LongAdder();

	private final Map<String, LongAdder> teamWorkMillis = new ConcurrentHashMap<>();

	private final Histogram sendLags = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	LoadRecorder(LoadOptions options) {
		this.options = options;
		int secondCount = (int) TimeUnit.MILLISECONDS.toSeconds(options.durationMillis()) + 1;
		this.countsBySecond = IntStream.range(0, secondCount).mapToObj((second) -> new SecondCounts()).toList();
	}

	/**
	 * Records the number of tasks of a job that is submitted under a ticket.
	 * @param ticket the ticket
	 * @param job the job
	 */
	void recordTicket(String ticket, PlannedJob job) {
		this.taskCountsByTicket.put(ticket, job.taskCount());
	}

	/**
	 * Records the delay between the planned and the actual send time of a job; ignores
	 * jobs planned within the warm-up.
	 * @param job the job
	 * @param nowNanos when the job was sent, in nanoseconds from the start of the run
	 */
	void recordSendLag(PlannedJob job, long nowNanos) {
		if (job.offsetNanos() >= TimeUnit.MILLISECONDS.toNanos(this.options.warmupMillis())) {
			long lagNanos = Math.max(0, nowNanos - job.offsetNanos());
			this.sendLags.recordValue(TimeUnit.NANOSECONDS.toMicros(lagNanos));
		}
	}

	/**
	 * Checks and records the answer to a job.
	 * @param job the job
	 * @param request the request that submitted the job
	 * @param answer the answer
	 * @param cancelled whether the load run requested the cancellation of the job
	 * @param nowNanos when the answer was received, in nanoseconds from the start of the
	 * run
	 */
	void recordAnswer(PlannedJob job, JobRequest request, JobAnswer answer, boolean cancelled, long nowNanos) {
		SecondCounts secondCounts = this.countsBySecond.get((int) TimeUnit.NANOSECONDS.toSeconds(job.offsetNanos()));
		if (answer instanceof JobAnswer.Complete complete) {
			AnswerCheck.check(request, complete).ifPresent(this.violations::add);
			this.completeTickets.add(answer.ticket());
			secondCounts.addComplete(addComplete(job, nowNanos));
			countOutcome("complete");
		}
		else if (answer instanceof JobAnswer.Refused refused) {
			this.refusedTickets.add(answer.ticket());
			countProblem(cancelled ? "cancelled" : "refused", refused.problem().code());
			secondCounts.addRefused();
		}
		else if (answer instanceof JobAnswer.Failed failed) {
			countProblem(cancelled ? "cancelled" : "failed", failed.problem().code());
			if (!cancelled) {
				secondCounts.addFailed();
			}
		}
		else {
			String code = (answer instanceof JobAnswer.Unknown unknown) ? unknown.problem().code() : "running";
			countProblem("unknown", code);
			secondCounts.addUnknown();
		}
	}

	/**
	 * Records a job as refused because no host issued a ticket for it.
	 * @param job the job
	 */
	void recordUnsent(PlannedJob job) {
		countProblem("refused", "no-ticket");
		this.countsBySecond.get((int) TimeUnit.NANOSECONDS.toSeconds(job.offsetNanos())).addRefused();
	}

	/**
	 * Compares the answers to two submissions under the same ticket. Two complete answers
	 * must be equal, and no answer may say that the job ran if the other one refused it.
	 * @param first the answer to the first submission
	 * @param second the answer to the second submission
	 */
	void compareAnswers(JobAnswer first, JobAnswer second) {
		countOutcome("resubmitted");
		boolean bothComplete = first instanceof JobAnswer.Complete && second instanceof JobAnswer.Complete;
		boolean contradictory = first instanceof JobAnswer.Refused && hasRun(second)
				|| hasRun(first) && second instanceof JobAnswer.Refused;
		if (contradictory || bothComplete && !first.equals(second)) {
			this.violations
				.add(new Violation(Violation.Type.DIFFERENT_ANSWERS, first.ticket(), first + " and " + second));
		}
	}

	/**
	 * Checks the task starts that the workers counted against the recorded answers.
	 * @param audit the starts that the workers counted
	 */
	void checkStarts(StartAudit audit) {
		this.violations.addAll(audit.check(this.taskCountsByTicket, this.refusedTickets, this.completeTickets));
	}

	List<Violation> violations() {
		return List.copyOf(this.violations);
	}

	Map<String, Integer> taskCountsByTicket() {
		return this.taskCountsByTicket;
	}

	Map<String, Long> outcomes() {
		return sumEach(this.outcomes);
	}

	Map<String, Long> problems() {
		return sumEach(this.problems);
	}

	List<SecondCounts.Row> timeline() {
		return IntStream.range(0, this.countsBySecond.size())
			.mapToObj((second) -> this.countsBySecond.get(second).toRow(second))
			.toList();
	}

	/**
	 * Returns the number of tasks of the jobs whose complete answers were received
	 * between the end of the warm-up and the end of the sending period.
	 * @return the count
	 */
	long completeTaskCount() {
		return this.completeTaskCount.sum();
	}

	/**
	 * Returns the sum of the run times of the jobs whose complete answers were received
	 * between the end of the warm-up and the end of the sending period.
	 * @return the work in milliseconds
	 */
	long completeWorkMillis() {
		return this.completeWorkMillis.sum();
	}

	Map<String, Long> teamWorkMillis() {
		return sumEach(this.teamWorkMillis);
	}

	Quantiles sendLagsMillis() {
		return Quantiles.of(this.sendLags, RESPONSE_UNIT_MILLIS);
	}

	Quantiles ratios(boolean single) {
		return Quantiles.of(single ? this.singleRatios : this.jobRatios, RATIO_UNIT);
	}

	Quantiles responseTimesMillis(boolean single) {
		return Quantiles.of(single ? this.singleResponseTimes : this.jobResponseTimes, RESPONSE_UNIT_MILLIS);
	}

	private double addComplete(PlannedJob job, long nowNanos) {
		double responseMillis = (nowNanos - job.offsetNanos()) / NANOS_PER_MILLI;
		double ratio = responseMillis / job.idealMillis(this.options.slotCount());
		long warmupNanos = TimeUnit.MILLISECONDS.toNanos(this.options.warmupMillis());
		if (nowNanos >= warmupNanos && nowNanos < TimeUnit.MILLISECONDS.toNanos(this.options.durationMillis())) {
			this.completeTaskCount.add(job.taskCount());
			this.completeWorkMillis.add(job.workMillis());
			this.teamWorkMillis.computeIfAbsent(job.teamName(), (team) -> new LongAdder()).add(job.workMillis());
		}
		if (job.offsetNanos() >= warmupNanos) {
			boolean single = job.taskCount() == 1;
			(single ? this.singleRatios : this.jobRatios).recordValue(Math.max(0, Math.round(ratio / RATIO_UNIT)));
			(single ? this.singleResponseTimes : this.jobResponseTimes)
				.recordValue(Math.max(0, Math.round(responseMillis / RESPONSE_UNIT_MILLIS)));
		}
		return ratio;
	}

	private static boolean hasRun(JobAnswer answer) {
		return answer instanceof JobAnswer.Complete || answer instanceof JobAnswer.Failed;
	}

	private void countProblem(String outcome, String code) {
		countOutcome(outcome);
		this.problems.computeIfAbsent(outcome + "/" + code, (key) -> new LongAdder()).increment();
	}

	private void countOutcome(String outcome) {
		this.outcomes.computeIfAbsent(outcome, (key) -> new LongAdder()).increment();
	}

	private static Map<String, Long> sumEach(Map<String, LongAdder> adders) {
		Map<String, Long> sums = new TreeMap<>();
		adders.forEach((name, adder) -> sums.put(name, adder.sum()));
		return sums;
	}

}
