package org.masticwick.cli.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import okhttp3.HttpUrl;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.JobRequest;

/**
 * Client of the callers' API: submits jobs to entry hosts. If a request gets no complete
 * response, the job is resubmitted to the next host under the same ticket. A refused job
 * is resubmitted under a new ticket if the host returned a retry delay.
 */
public final class JobClient implements AutoCloseable {

	private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RESPONSE_GRACE = Duration.ofSeconds(5);

	private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(2);

	private static final long TICKET_EXPIRY_MARGIN_MILLIS = 60_000;

	private final List<HttpUrl> hosts;

	private final JobClientOptions options;

	private final Map<HttpUrl, AsyncHttpClient> httpClients;

	private final List<TicketBuffer> ticketBuffers;

	private final ClientCounters counters = new ClientCounters();

	private final AtomicInteger nextHostCounter = new AtomicInteger();

	private final RandomGenerator random;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "job-client-timer");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a client.
	 * @param hosts the hosts, in the order in which they are tried
	 * @param options the settings of the client
	 */
	public JobClient(List<HttpUrl> hosts, JobClientOptions options) {
		this.hosts = List.copyOf(hosts);
		this.options = options;
		this.random = new Random(options.seed());
		this.httpClients = this.hosts.stream()
			.distinct()
			.collect(Collectors.toUnmodifiableMap(Function.identity(), (host) -> new AsyncHttpClient()));
		this.ticketBuffers = this.hosts.stream()
			.map((host) -> new TicketBuffer(httpClient(host), TimeSource.system(), host, options.ticketBlockCount(),
					TICKET_EXPIRY_MARGIN_MILLIS))
			.toList();
	}

	/**
	 * Submits a job under a ticket of the next host in round-robin order.
	 * @param request the job
	 * @return the answer; completes exceptionally if no host gives a ticket, while failed
	 * requests to submit the job lead to {@link JobAnswer.Unknown}
	 */
	public CompletableFuture<JobAnswer> submit(JobRequest request) {
		return submitWithRetries(request, JobBody.of(request).toBytes(), 0);
	}

	/**
	 * Submits a job under a ticket to the host that issued it.
	 * @param ticket the ticket
	 * @param request the job
	 * @return the answer about the job
	 */
	public CompletableFuture<JobAnswer> submit(Ticket ticket, JobRequest request) {
		return submit(ticket, ticket.host(), request);
	}

	/**
	 * Submits a job under a ticket, starting with any of the hosts.
	 * @param ticket the ticket
	 * @param firstHost the host that is tried first, which need not have issued the
	 * ticket
	 * @param request the job
	 * @return the answer about the job
	 */
	public CompletableFuture<JobAnswer> submit(Ticket ticket, HttpUrl firstHost, JobRequest request) {
		return new Submission(this, ticket, firstHost, JobBody.of(request).toBytes(), submissionTimeout(request))
			.start();
	}

	/**
	 * Acquires a ticket from the next host in round-robin order, or from the first host
	 * after it that gives one.
	 * @return the ticket
	 */
	public CompletableFuture<Ticket> ticket() {
		return ticketFromAny(Math.floorMod(this.nextHostCounter.getAndIncrement(), this.hosts.size()),
				this.hosts.size());
	}

	/**
	 * Acquires a ticket from one host.
	 * @param hostIndex the index of the host in {@link #hosts()}
	 * @return the ticket
	 */
	public CompletableFuture<Ticket> ticketOf(int hostIndex) {
		return this.ticketBuffers.get(hostIndex).take();
	}

	/**
	 * Acquires a ticket from one host, or from the first host after it that gives one.
	 * @param firstHostIndex the index in {@link #hosts()} of the host that is tried first
	 * @return the ticket
	 */
	public CompletableFuture<Ticket> ticketFrom(int firstHostIndex) {
		return ticketFromAny(firstHostIndex, this.hosts.size());
	}

	/**
	 * Fetches a block of tickets from the first host that gives one.
	 * @param count the number of tickets
	 * @return the tickets
	 */
	public CompletableFuture<List<Ticket>> tickets(int count) {
		return fetchTickets(0, count);
	}

	/**
	 * Queries the state of a job from the first reachable host.
	 * @param ticket the ticket
	 * @param wait how long the host waits for the job to finish before it responds
	 * @return the answer about the job
	 */
	public CompletableFuture<JobAnswer> state(String ticket, Duration wait) {
		return callFirstReachable(0,
				(host) -> httpClient(host).get(jobUrl(host, ticket, wait), wait.plus(this.options.responseMargin()))
					.thenApply((answer) -> ResponseReader.readJobAnswer(ticket, answer)));
	}

	/**
	 * Cancels a job through the first reachable host.
	 * @param ticket the ticket
	 * @return the answer about the job
	 */
	public CompletableFuture<JobAnswer> cancel(String ticket) {
		return callFirstReachable(0, (host) -> httpClient(host).delete(jobUrl(host, ticket), CANCEL_TIMEOUT)
			.thenApply((answer) -> ResponseReader.readJobAnswer(ticket, answer)));
	}

	/**
	 * Returns the entry hosts.
	 * @return the hosts in the order in which they are tried
	 */
	public List<HttpUrl> hosts() {
		return this.hosts;
	}

	/**
	 * Returns the counts of failed requests and retries.
	 * @return the counters
	 */
	public ClientCounters counters() {
		return this.counters;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.httpClients.values().forEach(AsyncHttpClient::close);
	}

	/**
	 * Returns the HTTP client for a host. Each host has its own, since OkHttp searches
	 * the whole connection pool for each request.
	 * @param host one of the hosts
	 * @return the HTTP client
	 */
	AsyncHttpClient httpClient(HttpUrl host) {
		return this.httpClients.get(host);
	}

	JobClientOptions options() {
		return this.options;
	}

	void discardTickets(HttpUrl host) {
		int index = this.hosts.indexOf(host);
		if (index >= 0) {
			this.ticketBuffers.get(index).clear();
		}
	}

	HttpUrl nextHost(HttpUrl host) {
		return this.hosts.get((this.hosts.indexOf(host) + 1) % this.hosts.size());
	}

	HttpUrl jobUrl(HttpUrl host, String ticket, Duration wait) {
		return jobUrl(host, ticket).newBuilder().addQueryParameter("wait_ms", Long.toString(wait.toMillis())).build();
	}

	long backoffMillis(int previousAttemptCount, long minDelayMillis) {
		return Backoff.delayMillis(previousAttemptCount, minDelayMillis, this.random);
	}

	void schedule(long delayMillis, Runnable action) {
		this.timer.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<JobAnswer> submitWithRetries(JobRequest request, byte[] body, int retryCount) {
		return ticket()
			.thenCompose(
					(ticket) -> new Submission(this, ticket, ticket.host(), body, submissionTimeout(request)).start())
			.thenCompose((answer) -> {
				boolean retriesExhausted = retryCount >= this.options.refusalRetryCountMax();
				if (retriesExhausted || !(answer instanceof JobAnswer.Refused refused) || !isRetryable(refused)) {
					return CompletableFuture.completedFuture(answer);
				}
				this.counters.countRefusalRetry();
				long delayMillis = backoffMillis(retryCount, refused.problem().retryAfterMillis());
				CompletableFuture<Void> delay = new CompletableFuture<>();
				schedule(delayMillis, () -> delay.complete(null));
				return delay.thenCompose((ignored) -> submitWithRetries(request, body, retryCount + 1));
			});
	}

	private CompletableFuture<Ticket> ticketFromAny(int hostIndex, int remainingHostCount) {
		CompletableFuture<Ticket> ticket = this.ticketBuffers.get(hostIndex).take();
		if (remainingHostCount <= 1) {
			return ticket;
		}
		return fallBack(ticket, () -> ticketFromAny((hostIndex + 1) % this.hosts.size(), remainingHostCount - 1));
	}

	private CompletableFuture<List<Ticket>> fetchTickets(int hostIndex, int count) {
		CompletableFuture<List<Ticket>> fetched = this.ticketBuffers.get(hostIndex).fetch(count);
		return (hostIndex + 1 < this.hosts.size()) ? fallBack(fetched, () -> fetchTickets(hostIndex + 1, count))
				: fetched;
	}

	private CompletableFuture<JobAnswer> callFirstReachable(int hostIndex, HostRequest request) {
		CompletableFuture<JobAnswer> answer = request.send(this.hosts.get(hostIndex));
		return (hostIndex + 1 < this.hosts.size()) ? fallBack(answer, () -> callFirstReachable(hostIndex + 1, request))
				: answer;
	}

	private static boolean isRetryable(JobAnswer.Refused refused) {
		return refused.problem().retryAfterMillis() > 0;
	}

	private static <T> CompletableFuture<T> fallBack(CompletableFuture<T> first,
			Supplier<? extends CompletionStage<T>> fallback) {
		return first.exceptionallyCompose((error) -> fallback.get());
	}

	private static Duration submissionTimeout(JobRequest request) {
		Duration deadline = (request.deadlineMillis() > 0) ? Duration.ofMillis(request.deadlineMillis())
				: DEFAULT_DEADLINE;
		return deadline.plus(RESPONSE_GRACE);
	}

	private static HttpUrl jobUrl(HttpUrl host, String ticket) {
		return host.newBuilder().addPathSegments("v1/jobs").addPathSegment(ticket).build();
	}

	/**
	 * Sends a request about a job to a host.
	 */
	private interface HostRequest {

		CompletableFuture<JobAnswer> send(HttpUrl host);

	}

}
