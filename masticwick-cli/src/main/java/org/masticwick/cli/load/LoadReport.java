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
 * Holds what a load run measured.
 *
 * @param options the options of the run
 * @param jobCount how many jobs were sent
 * @param taskCount how many tasks they have
 * @param offeredLoad their work as a fraction of the slots
 * @param goodput the work of complete jobs as a fraction of the slots, over the time
 * until the last answer
 * @param tasksPerSecond the tasks of complete jobs a second
 * @param outcomes how many jobs had each outcome
 * @param problems how many jobs had each code, by outcome
 * @param singleRatio response time over ideal of single tasks
 * @param jobRatio response time over ideal of jobs of several tasks
 * @param centralSingleRatio response time over ideal of single tasks that one queue in
 * front of all slots would reach, by {@link CentralQueueSimulator}
 * @param centralJobRatio the same of jobs of several tasks
 * @param singleResponseMillis response times of single tasks, in milliseconds
 * @param jobResponseMillis response times of jobs of several tasks, in milliseconds
 * @param sendLagMillis how late the tool itself sent jobs, in milliseconds
 * @param startedTaskCount how many tasks the workers started
 * @param messages messages that hosts sent, by kind
 * @param wastedMessages wasted messages among them, by kind
 * @param wastedPerStartedTask wasted messages for each started task
 * @param peerMessages messages that hosts sent each other, by type
 * @param peerBytes the bytes of these messages, by type
 * @param endpointMessages what the workers counted
 * @param hostProcessorSeconds the processor time of the hosts, in seconds
 * @param lostConnectionCount requests of the tool that got no whole answer
 * @param resubmissionCount jobs that the tool sent again for that reason
 * @param violations how often each promise was broken
 * @param violationExamples some of them
 * @param teamWorkMillis the work of complete jobs by team, in milliseconds, from the end
 * of the warm-up to the last arrival
 * @param timeline what became of the jobs of each second
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
	 * Returns the report for programs.
	 * @return the JSON
	 */
	JsonNode toJson() {
		return MAPPER.valueToTree(this);
	}

}
