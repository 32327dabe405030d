package org.masticwick.daemon.request;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Answers for jobs whose issuer is lost, by looking up the status of each task on the
 * endpoints by the task id. It starts no tasks, so several hosts may safely collect the
 * results of the same job.
 */
public final class ResultCollector {

	private static final Logger logger = LoggerFactory.getLogger(ResultCollector.class);

	private final JobRequestReader reader;

	private final Supplier<SiteVersion> activeVersion;

	private final TaskFinder finder;

	private final TimeSource time;

	private final BiConsumer<Ticket, HttpAnswer> answerListener;

	private final Map<String, CollectedJob> collectedJobs = new ConcurrentHashMap<>();

	/**
	 * Creates a collector.
	 * @param reader parses and validates submissions
	 * @param activeVersion supplies the active version of the site
	 * @param finder looks up tasks on the endpoints
	 * @param time the clock
	 * @param answerListener receives each answer with its ticket, to be delivered to the
	 * issuer if it becomes reachable again
	 */
	public ResultCollector(JobRequestReader reader, Supplier<SiteVersion> activeVersion, TaskFinder finder,
			TimeSource time, BiConsumer<Ticket, HttpAnswer> answerListener) {
		this.reader = reader;
		this.activeVersion = activeVersion;
		this.finder = finder;
		this.time = time;
		this.answerListener = answerListener;
	}

	/**
	 * Collects the results of a job.
	 * @param request the request; its body, if not empty, is the submission that lists
	 * the tasks
	 * @return the answer, completed when every task has been looked up
	 */
	CompletableFuture<HttpAnswer> collect(RoutedRequest request) {
		String ticket = request.ticket().toString();
		CollectedJob existingJob = this.collectedJobs.get(ticket);
		if (existingJob == null && request.body().length == 0) {
			return CompletableFuture.completedFuture(Answers.problem(ErrorCode.OUTCOME_UNKNOWN,
					"The host that issued the ticket is lost; submit the same body again to have its results collected"));
		}
		try {
			return ((existingJob != null) ? existingJob : start(request, ticket)).answerFor(request.body());
		}
		catch (MasticwickException ex) {
			return CompletableFuture.completedFuture(Answers.problem(ex));
		}
	}

	private CollectedJob start(RoutedRequest request, String ticket) {
		JobRequest job = this.reader.read(request.body());
		CollectedJob newJob = new CollectedJob(BodyDigest.of(request.body()), request.ticket().expiryEpochMillis(),
				new CompletableFuture<>());
		CollectedJob existingJob = this.collectedJobs.putIfAbsent(ticket, newJob);
		if (existingJob != null) {
			return existingJob;
		}
		RequestLog.event(logger, request.ticket())
			.addKeyValue("tasks", job.tasks().size())
			.log("Issuer of the ticket is lost; looking up the tasks on the endpoints");
		findTasks(request.ticket(), job).exceptionally((ex) -> toHomeLost(ex, ticket)).thenAccept((answer) -> {
			RequestLog.event(logger, request.ticket())
				.addKeyValue("status", answer.status())
				.log("Lookup of the tasks has ended; answering in place of the lost issuer");
			this.answerListener.accept(request.ticket(), answer);
			newJob.answer().complete(answer);
		});
		return newJob;
	}

	private static HttpAnswer toHomeLost(Throwable ex, String ticket) {
		logger.error("Looking up the tasks failed; answering that the issuer is lost: ticket={}", ticket, ex);
		return Answers.problem(ErrorCode.HOME_LOST,
				"The host that issued the ticket is lost, and its results could not be collected");
	}

	private CompletableFuture<HttpAnswer> findTasks(Ticket ticket, JobRequest job) {
		SiteVersion siteVersion = this.activeVersion.get();
		ServiceSpec service = siteVersion.services().get(job.service());
		if (service == null || !service.lookup()) {
			return CompletableFuture.completedFuture(Answers.problem(ErrorCode.HOME_LOST,
					"The host that issued the ticket is lost, and the endpoints of the service support no status lookup"));
		}
		List<HostAddress> endpoints = endpoints(siteVersion, job.service(), ticket.domain());
		long deadlineNanos = this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(job.deadlineMillis());
		return this.finder.find(ticket.toString(), job.tasks().size(), endpoints, deadlineNanos)
			.thenApply((tasks) -> toAnswer(ticket.toString(), tasks));
	}

	private static List<HostAddress> endpoints(SiteVersion siteVersion, String service, String issuerDomain) {
		return siteVersion.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service))
			.sorted(Comparator.comparing((EndpointSpec endpoint) -> !endpoint.domain().equals(issuerDomain))
				.thenComparing(EndpointSpec::address))
			.map(EndpointSpec::address)
			.toList();
	}

	private static HttpAnswer toAnswer(String ticket, List<TaskFinder.FoundTask> tasks) {
		if (tasks.stream().allMatch((task) -> task.state() == TaskState.SUCCEEDED)) {
			return Answers.complete(ticket, tasks.stream().map(TaskFinder.FoundTask::result).toList());
		}
		return Answers.problem(ErrorCode.HOME_LOST,
				"The host that issued the ticket is lost, and not every task was found to have a result",
				HttpAnswer.NO_RETRY, tasks.stream().map(TaskFinder.FoundTask::state).toList());
	}

	/**
	 * Removes answered jobs whose tickets have expired.
	 */
	public void removeExpired() {
		long nowEpochMillis = this.time.epochMillis();
		this.collectedJobs.values()
			.removeIf((collectedJob) -> collectedJob.expiryEpochMillis() <= nowEpochMillis
					&& collectedJob.answer().isDone());
	}

	/**
	 * Returns the number of jobs whose results were or are being collected.
	 * @return the number of jobs whose tickets have not expired
	 */
	public int collectedJobCount() {
		return this.collectedJobs.size();
	}

	/**
	 * Represents a job whose results were or are being collected.
	 *
	 * @param digest the SHA-256 digest of the submitted body
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 * @param answer the answer, completed when every task has been looked up
	 */
	private record CollectedJob(byte[] digest, long expiryEpochMillis, CompletableFuture<HttpAnswer> answer) {

		CompletableFuture<HttpAnswer> answerFor(byte[] body) {
			if (body.length > 0 && !Arrays.equals(this.digest, BodyDigest.of(body))) {
				return CompletableFuture.completedFuture(Answers.problem(ErrorCode.TICKET_REUSED,
						"The ticket was submitted before with a different body"));
			}
			return this.answer;
		}

	}

}
