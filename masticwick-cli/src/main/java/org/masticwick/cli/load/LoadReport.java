package org.masticwick.cli.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.masticwick.cli.request.ClientCounters;

/**
 * Results of a load run. The ideal response time of a job is its lower bound, as in
 * {@link PlannedJob#idealMillis}.
 *
 * @param options the options of the run
 * @param jobCount the number of jobs in the schedule
 * @param taskCount the number of tasks of these jobs
 * @param offeredLoad the work of these jobs as a fraction of the slots
 * @param goodput the work of the jobs answered completely between the end of the warm-up
 * and the end of the sending period, as a fraction of the capacity of the slots in this
 * time
 * @param tasksPerSecond the number of tasks of these completed jobs per second
 * @param outcomes the number of jobs by outcome; {@code resubmitted} counts the pairs of
 * answers that were compared
 * @param problems the number of jobs by outcome and error code, as {@code outcome/code}
 * @param singleRatio ratio of response time to ideal response time of single-task jobs
 * @param jobRatio ratio of response time to ideal response time of jobs with several
 * tasks
 * @param centralSingleRatio ratio of response time to ideal response time of single-task
 * jobs as simulated by {@link CentralQueueSimulator}
 * @param centralJobRatio ratio of response time to ideal response time of jobs with
 * several tasks as simulated by {@link CentralQueueSimulator}
 * @param singleResponseMillis response times of single-task jobs, in milliseconds
 * @param jobResponseMillis response times of jobs with several tasks, in milliseconds
 * @param sendLagMillis delays between the planned and the actual send time of jobs, in
 * milliseconds
 * @param startedTaskCount the number of tasks of this run that workers started; 0 if no
 * admin address of workers is set
 * @param messages the number of messages that hosts sent, by kind
 * @param wastedMessages the number of these messages that were wasted, by kind
 * @param wastedPerStartedTask the number of wasted messages per started task
 * @param peerMessages the number of messages between hosts, by type
 * @param peerBytes the bytes of the messages between hosts, by type
 * @param endpointMessages the counters of the workers, by name
 * @param hostProcessorSeconds the processor time that the hosts used, in seconds
 * @param lostConnectionCount the number of the tool's requests that received no complete
 * HTTP response
 * @param resubmissionCount the number of jobs resubmitted because of a lost connection
 * @param violations the number of violations by type
 * @param violationExamples the first violations, at most
 * {@code VIOLATION_EXAMPLE_COUNT_MAX}
 * @param teamWorkMillis the work of the jobs answered completely between the end of the
 * warm-up and the end of the sending period, by team, in milliseconds
 * @param timeline outcomes and ratios of the jobs by the second of their planned send
 * time
 */
record LoadReport(LoadOptions options, int jobCount, long taskCount, double offeredLoad, double goodput,
		double tasksPerSecond, Map<String, Long> outcomes, Map<String, Long> problems, Quantiles singleRatio,
		Quantiles jobRatio, Quantiles centralSingleRatio, Quantiles centralJobRatio, Quantiles singleResponseMillis,
		Quantiles jobResponseMillis, Quantiles sendLagMillis, long startedTaskCount, Map<String, Double> messages,
		Map<String, Double> wastedMessages, double wastedPerStartedTask, Map<String, Double> peerMessages,
		Map<String, Double> peerBytes, Map<String, Double> endpointMessages, double hostProcessorSeconds,
		long lostConnectionCount, long resubmissionCount, Map<Violation.Type, Long> violations,
		List<Violation> violationExamples, Map<String, Long> teamWorkMillis, List<SecondCounts.Row> timeline) {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private static final int VIOLATION_EXAMPLE_COUNT_MAX = 20;

	private static final double MILLIS_PER_SECOND = 1_000;

	static LoadReport of(LoadOptions options, Schedule schedule, LoadRecorder recorder, ClientCounters clientCounters,
			Map<String, Double> siteCounts, long startedTaskCount) {
		CentralQueueSimulator.Ratios central = CentralQueueSimulator.simulate(schedule, options);
		double measuredSeconds = (options.durationMillis() - options.warmupMillis()) / MILLIS_PER_SECOND;
		Map<String, Double> wastedByKind = SiteCounters.withPrefix(siteCounts, SiteCounters.WASTED_MESSAGES_PREFIX);
		double wastedMessageCount = wastedByKind.values().stream().mapToDouble(Double::doubleValue).sum();
		Map<Violation.Type, Long> violations = new TreeMap<>();
		recorder.violations().forEach((violation) -> violations.merge(violation.type(), 1L, Long::sum));
		double slotSeconds = (double) options.slotCount() * options.durationMillis() / MILLIS_PER_SECOND;
		return new LoadReport(options, schedule.jobs().size(),
				schedule.jobs().stream().mapToLong(PlannedJob::taskCount).sum(),
				schedule.workMillis() / MILLIS_PER_SECOND / slotSeconds,
				recorder.completeWorkMillis() / MILLIS_PER_SECOND / (options.slotCount() * measuredSeconds),
				recorder.completeTaskCount() / measuredSeconds, recorder.outcomes(), recorder.problems(),
				recorder.ratios(true), recorder.ratios(false), central.single(), central.jobs(),
				recorder.responseTimesMillis(true), recorder.responseTimesMillis(false), recorder.sendLagsMillis(),
				startedTaskCount, SiteCounters.withPrefix(siteCounts, SiteCounters.MESSAGES_PREFIX), wastedByKind,
				wastedMessageCount / Math.max(1, startedTaskCount),
				SiteCounters.withPrefix(siteCounts, SiteCounters.PEER_MESSAGES_PREFIX),
				SiteCounters.withPrefix(siteCounts, SiteCounters.PEER_BYTES_PREFIX),
				SiteCounters.withPrefix(siteCounts, SiteCounters.ENDPOINT_PREFIX),
				siteCounts.getOrDefault(SiteCounters.PROCESSOR_SECONDS, 0.0), clientCounters.lostConnectionCount(),
				clientCounters.resubmissionCount(), violations,
				recorder.violations().stream().limit(VIOLATION_EXAMPLE_COUNT_MAX).toList(), recorder.teamWorkMillis(),
				recorder.timeline());
	}

	/**
	 * Returns the report as JSON with keys in snake case.
	 * @return the JSON object
	 */
	JsonNode toJson() {
		return MAPPER.valueToTree(this);
	}

}
