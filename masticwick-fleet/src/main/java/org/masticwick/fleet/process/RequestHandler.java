package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.fleet.request.CallerRequest;
import org.masticwick.fleet.request.SubmittedJob;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.QueueRule;
import org.masticwick.fleet.version.SiteVersion;
import org.masticwick.fleet.version.VersionHolder;

/**
 * Handles HTTP requests: refuses invalid ones, routes submitted jobs, and forwards
 * queries and cancellations. Each request is handled by one version of the site's rules.
 */
final class RequestHandler {

	private static final Logger logger = LoggerFactory.getLogger(RequestHandler.class);

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int METHOD_NOT_ALLOWED = 405;

	private static final int GONE = 410;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int UNAVAILABLE = 503;

	/** How long a caller waits whose request has no wait header. */
	private static final long DEFAULT_WAIT_MILLIS = 10_000;

	/** The advised retry delay while this host has not read a version. */
	private static final long NO_VERSION_RETRY_MILLIS = 1_000;

	/** The advised retry delay, at another host, while this host is stopping. */
	private static final long STOPPING_RETRY_MILLIS = 100;

	/** The advised retry delay for a job or queue that needs an unsupported feature. */
	private static final long UNSUPPORTED_RETRY_MILLIS = 60_000;

	/** Many times the task count of the largest job to be supported, which is 560. */
	private static final long MAX_TASK_COUNT = 10_000;

	/** The length of a job's id in UTF-8; keys in the log have at most 255 bytes. */
	private static final int MAX_JOB_ID_BYTES = 200;

	private static final String METRICS_PATH = "/metrics";

	private final VersionHolder versions;

	private final JobRouter router;

	private final JobQueries jobQueries;

	private final CallerFormat format;

	private final BooleanSupplier isReady;

	private final BooleanSupplier isRefusingJobs;

	private final FleetMetrics metrics;

	RequestHandler(VersionHolder versions, JobRouter router, JobQueries jobQueries, CallerFormat format,
			BooleanSupplier isReady, BooleanSupplier isRefusingJobs, FleetMetrics metrics) {
		this.versions = versions;
		this.router = router;
		this.jobQueries = jobQueries;
		this.format = format;
		this.isReady = isReady;
		this.isRefusingJobs = isRefusingJobs;
		this.metrics = metrics;
	}

	/**
	 * Handles a request of the load balancer or of an operator.
	 * @param request the request
	 * @param exchange the exchange to reply to
	 */
	void handleOperatorRequest(CallerRequest request, CallerExchange exchange) {
		if (request.path().equals(this.format.readinessPath())) {
			exchange.reply(CallerReply.of(this.isReady.getAsBoolean() ? OK : UNAVAILABLE));
		}
		else if (request.path().equals(METRICS_PATH)) {
			exchange.reply(new CallerReply(OK, this.metrics.toText(), 0));
		}
		else {
			exchange.reply(CallerReply.of(NOT_FOUND));
		}
	}

	/**
	 * Handles a request of a caller.
	 * @param request the request
	 * @param exchange the exchange to reply to
	 */
	void handleCallerRequest(CallerRequest request, CallerExchange exchange) {
		Optional<SiteVersion> version = this.versions.activeVersion();
		if (version.isEmpty()) {
			refuse(request, exchange, CallerReply.retryLater(UNAVAILABLE, NO_VERSION_RETRY_MILLIS), "no-version", 0);
			return;
		}
		long number = version.get().number();
		Optional<QueueRule> queue = version.get().findQueue(request.hostName(), request.path());
		if (queue.isEmpty()) {
			refuse(request, exchange, CallerReply.of(NOT_FOUND), "no-queue", number);
			return;
		}
		String jobId = request.path().substring(queue.get().pathPrefix().length());
		switch (request.method()) {
			case "POST" -> submit(request, exchange, version.get(), queue.get(), jobId);
			case "GET" -> query(exchange, queue.get(), jobId);
			case "DELETE" -> cancel(request, exchange, jobId, number);
			default -> refuse(request, exchange, CallerReply.of(METHOD_NOT_ALLOWED), "method", number);
		}
	}

	// The ids of jobs are part of keys in the log.
	private static boolean isJobId(String text) {
		return !text.isEmpty() && text.getBytes(StandardCharsets.UTF_8).length <= MAX_JOB_ID_BYTES;
	}

	private void cancel(CallerRequest request, CallerExchange exchange, String jobId, long versionNumber) {
		if (isJobId(jobId)) {
			this.jobQueries.cancel(jobId, exchange);
		}
		else {
			refuse(request, exchange, CallerReply.of(GONE), "no-job-id", versionNumber);
		}
	}

	private void query(CallerExchange exchange, QueueRule queue, String jobId) {
		if (jobId.isEmpty()) {
			this.jobQueries.waitingCount(queue.name(), exchange);
		}
		else {
			this.jobQueries.status(jobId, exchange);
		}
	}

	private void submit(CallerRequest request, CallerExchange exchange, SiteVersion version, QueueRule queue,
			String jobId) {
		if (this.isRefusingJobs.getAsBoolean()) {
			refuse(request, exchange, CallerReply.retryLater(UNAVAILABLE, STOPPING_RETRY_MILLIS), "host-stops",
					version.number());
			return;
		}
		if (!isJobId(jobId)) {
			refuse(request, exchange, CallerReply.of(BAD_REQUEST), "no-job-id", version.number());
			return;
		}
		if (request.body().length > version.limits().maxBodyBytes()) {
			refuse(request, exchange, CallerReply.of(CONTENT_TOO_LARGE), "body-too-large", version.number());
			return;
		}
		SubmittedJob job;
		try {
			job = this.format.readJob(request.body());
		}
		catch (InvalidRecordException ex) {
			refuse(request, exchange, CallerReply.of(BAD_REQUEST), ex.getMessage(), version.number());
			return;
		}
		if (!job.unsupportedFeatures().isEmpty() || queue.externallyRestricted()) {
			refuse(request, exchange, CallerReply.retryLater(UNAVAILABLE, UNSUPPORTED_RETRY_MILLIS),
					"not-offered " + job.unsupportedFeatures(), version.number());
			return;
		}
		JobSpec spec = new JobSpec(jobId, job.payload(), job.steps(), !job.synchronous(), job.schedule());
		if (spec.taskCount() > MAX_TASK_COUNT) {
			refuse(request, exchange, CallerReply.of(BAD_REQUEST), "too-many-tasks", version.number());
			return;
		}
		this.router.route(spec, terms(request, version, queue), exchange);
	}

	private static JobTerms terms(CallerRequest request, SiteVersion version, QueueRule queue) {
		long waitMillis = (request.timeoutMillis() > 0) ? request.timeoutMillis() : DEFAULT_WAIT_MILLIS;
		return new JobTerms(queue.name(), queue.service(), queue.priority(), queue.maxAttempts(), queue.stretch(),
				queue.targetLatencyMillis(), waitMillis, version.number(), 0);
	}

	private static void refuse(CallerRequest request, CallerExchange exchange, CallerReply reply, String reason,
			long versionNumber) {
		logger.atInfo()
			.addKeyValue("path", request.path())
			.addKeyValue("host_name", request.hostName())
			.addKeyValue("status", reply.status())
			.addKeyValue("reason", reason)
			.addKeyValue("version", versionNumber)
			.log("Request refused");
		exchange.reply(reply);
	}

}
