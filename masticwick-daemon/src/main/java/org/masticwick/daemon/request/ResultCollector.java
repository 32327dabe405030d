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
 * Answers for jobs whose home is lost: asks the endpoints by task id what became of each
 * task. It starts nothing, so several collectors of one job do no harm.
 */
public final class ResultCollector {

	private static final Logger logger = LoggerFactory.getLogger(ResultCollector.class);

	private final JobRequestReader reader;

	private final Supplier<SiteVersion> version;

	private final TaskFinder finder;

	private final TimeSource time;

	private final BiConsumer<Ticket, HttpAnswer> verdicts;

	private final Map<String, Collection> collections = new ConcurrentHashMap<>();

	/**
	 * Creates a collector.
	 * @param reader reads submissions
	 * @param version the version in force
	 * @param finder finds tasks at endpoints
	 * @param time the clock
	 * @param verdicts takes each answer with its ticket, for a home that comes back
	 */
	public ResultCollector(JobRequestReader reader, Supplier<SiteVersion> version, TaskFinder finder, TimeSource time,
			BiConsumer<Ticket, HttpAnswer> verdicts) {
		this.reader = reader;
		this.version = version;
		this.finder = finder;
		this.time = time;
		this.verdicts = verdicts;
	}

	/**
	 * Collects the results of a job.
	 * @param request the request; a submission names the tasks by its body
	 * @return the answer to come
	 */
	CompletableFuture<HttpAnswer> collect(RoutedRequest request) {
		String ticket = request.ticket().toString();
		Collection known = this.collections.get(ticket);
		if (known == null && request.body().length == 0) {
			return CompletableFuture.completedFuture(Answers.problem(ErrorCode.OUTCOME_UNKNOWN,
					"The home of the ticket is lost; submit the same body again to have its results collected"));
		}
		try {
			return ((known != null) ? known : start(request, ticket)).answerFor(request.body());
		}
		catch (MasticwickException ex) {
			return CompletableFuture.completedFuture(Answers.problem(ex));
		}
	}

	private Collection start(RoutedRequest request, String ticket) {
		JobRequest job = this.reader.read(request.body());
		Collection fresh = new Collection(BodyDigest.of(request.body()), request.ticket().expiryEpochMillis(),
				new CompletableFuture<>());
		Collection present = this.collections.putIfAbsent(ticket, fresh);
		if (present != null) {
			return present;
		}
		RequestLog.event(logger, request.ticket())
			.addKeyValue("tasks", job.tasks().size())
			.log("Results of a lost home are collected");
		run(request.ticket(), job).exceptionally((ex) -> lost(ex, ticket)).thenAccept((answer) -> {
			RequestLog.event(logger, request.ticket())
				.addKeyValue("status", answer.status())
				.log("Results of a lost home collected");
			this.verdicts.accept(request.ticket(), answer);
			fresh.answer().complete(answer);
		});
		return fresh;
	}

	private static HttpAnswer lost(Throwable ex, String ticket) {
		logger.error("Results not collected: ticket={}", ticket, ex);
		return Answers.problem(ErrorCode.HOME_LOST, "The results of the lost home could not be collected");
	}

	private CompletableFuture<HttpAnswer> run(Ticket ticket, JobRequest job) {
		SiteVersion current = this.version.get();
		ServiceSpec service = current.services().get(job.service());
		if (service == null || !service.lookup()) {
			return CompletableFuture.completedFuture(Answers.problem(ErrorCode.HOME_LOST,
					"The home of the ticket is lost, and the endpoints answer no look-ups"));
		}
		List<HostAddress> endpoints = endpoints(current, job.service(), ticket.domain());
		long limitNanos = this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(job.deadlineMillis());
		return this.finder.find(ticket.toString(), job.tasks().size(), endpoints, limitNanos)
			.thenApply((tasks) -> toAnswer(ticket.toString(), tasks));
	}

	private static List<HostAddress> endpoints(SiteVersion version, String service, String homeDomain) {
		return version.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service))
			.sorted(Comparator.comparing((EndpointSpec endpoint) -> !endpoint.domain().equals(homeDomain))
				.thenComparing(EndpointSpec::address))
			.map(EndpointSpec::address)
			.toList();
	}

	private static HttpAnswer toAnswer(String ticket, List<TaskFinder.FoundTask> tasks) {
		if (tasks.stream().allMatch((task) -> task.state() == TaskState.SUCCEEDED)) {
			return Answers.complete(ticket, tasks.stream().map(TaskFinder.FoundTask::result).toList());
		}
		return Answers.problem(ErrorCode.HOME_LOST,
				"The home of the ticket was lost before every task was known to have a result", HttpAnswer.NO_RETRY,
				tasks.stream().map(TaskFinder.FoundTask::state).toList());
	}

	/**
	 * Forgets what belongs to expired tickets.
	 */
	public void removeExpired() {
		long now = this.time.epochMillis();
		this.collections.values().removeIf((one) -> one.expiryEpochMillis() <= now && one.answer().isDone());
	}

	/**
	 * Returns how many jobs were or are collected.
	 * @return the count
	 */
	public int collectedJobCount() {
		return this.collections.size();
	}

	/**
	 * Is one job that is collected.
	 *
	 * @param digest the digest of the submitted body
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 * @param answer the answer to come
	 */
	private record Collection(byte[] digest, long expiryEpochMillis, CompletableFuture<HttpAnswer> answer) {

		CompletableFuture<HttpAnswer> answerFor(byte[] body) {
			if (body.length > 0 && !Arrays.equals(this.digest, BodyDigest.of(body))) {
				return CompletableFuture.completedFuture(
						Answers.problem(ErrorCode.TICKET_REUSED, "The ticket was submitted with another body"));
			}
			return this.answer;
		}

	}

}
