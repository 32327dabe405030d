package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.ErrorAnswer;
import org.masticwick.wire.PeerMessage.Forward;
import org.masticwick.wire.PeerMessage.ForwardAnswer;
import org.masticwick.wire.PeerMessage.ForwardOperation;
import org.masticwick.wire.PeerTransport;

/**
 * Routes each request to the one host that may start jobs under its ticket, or to a
 * result collector if that host is lost.
 */
public final class RequestRouter {

	private static final Logger logger = LoggerFactory.getLogger(RequestRouter.class);

	private static final long RETRY_DELAY_MILLIS = 100;

	private static final String NOT_HOLDER = "not-holder";

	private final EntryHost self;

	private final TicketRegistries registries;

	private final TicketIssuer issuer;

	private final JobService jobs;

	private final ResultCollector collector;

	private final PeerDirectory peers;

	private final PeerTransport transport;

	private final Metrics metrics;

	private final TimeSource time;

	private final long routeTimeoutMillis;

	/**
	 * Creates a router.
	 * @param self this host
	 * @param registries the ticket registries of this host
	 * @param issuer issues tickets
	 * @param jobs serves jobs whose tickets this host holds
	 * @param collector collects the results of jobs whose issuer is lost
	 * @param peers lists the other entry hosts and their state
	 * @param transport sends messages to the other entry hosts
	 * @param metrics counts forwarded requests and refusals
	 * @param time the clock
	 * @param routeTimeoutMillis how long to try to find and reach the holder of a ticket,
	 * in milliseconds
	 */
	public RequestRouter(EntryHost self, TicketRegistries registries, TicketIssuer issuer, JobService jobs,
			ResultCollector collector, PeerDirectory peers, PeerTransport transport, Metrics metrics, TimeSource time,
			long routeTimeoutMillis) {
		this.self = self;
		this.registries = registries;
		this.issuer = issuer;
		this.jobs = jobs;
		this.collector = collector;
		this.peers = peers;
		this.transport = transport;
		this.metrics = metrics;
		this.time = time;
		this.routeTimeoutMillis = routeTimeoutMillis;
	}

	/**
	 * Serves a request that a caller sent to this host.
	 * @param request the request
	 * @return the answer; "running" if the job has not ended when the wait of the request
	 * is over; never completes with an exception
	 */
	public CompletableFuture<HttpAnswer> serve(RoutedRequest request) {
		long deadlineNanos = this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.routeTimeoutMillis);
		boolean answeredHere = answeringRegistry(request).isPresent();
		long waitMillis = request.waitMillis() + (answeredHere ? 0 : this.routeTimeoutMillis);
		return limitWait(route(request, deadlineNanos), request, waitMillis);
	}

	private CompletableFuture<HttpAnswer> limitWait(CompletableFuture<HttpAnswer> answer, RoutedRequest request,
			long waitMillis) {
		CompletableFuture<HttpAnswer> waitedAnswer = answer.thenApply(Function.identity());
		return (waitedAnswer.isDone() ? waitedAnswer : waitedAnswer
			.completeOnTimeout(Answers.running(request.ticket().toString()), waitMillis, TimeUnit.MILLISECONDS))
			.exceptionally((ex) -> toProblem(causeOf(ex)));
	}

	private HttpAnswer toProblem(Throwable cause) {
		if (cause instanceof MasticwickException masticwickException) {
			this.metrics.countRefusal(masticwickException.errorCode());
		}
		return Answers.problem(cause);
	}

	/**
	 * Issues tickets. Once this host has handed its tickets over, it forwards the request
	 * to its successor.
	 * @param body the JSON body of the caller's request; empty for one ticket
	 * @return the answer; never completes with an exception
	 */
	public CompletableFuture<HttpAnswer> issue(byte[] body) {
		return issue(body, this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.routeTimeoutMillis));
	}

	private CompletableFuture<HttpAnswer> issue(byte[] body, long deadlineNanos) {
		try {
			return CompletableFuture.completedFuture(this.issuer.issue(body));
		}
		catch (NotHolderException ex) {
			return issueAtSuccessor(body, deadlineNanos);
		}
	}

	private CompletableFuture<HttpAnswer> issueAtSuccessor(byte[] body, long deadlineNanos) {
		Optional<HostAddress> successor = this.registries.successorOf(this.self.incarnation());
		if (successor.isPresent()) {
			this.metrics.countMessage(MessageKind.FORWARD);
			return this.transport.call(successor.get(), new Forward(ForwardOperation.ISSUE, "", body, 0))
				.thenApply(RequestRouter::fromMessage)
				.exceptionally((ex) -> hostStopping());
		}
		if (this.registries.hasNoSuccessor(this.self.incarnation()) || this.time.nanoTime() - deadlineNanos >= 0) {
			return CompletableFuture.completedFuture(hostStopping());
		}
		return delayed(() -> issue(body, deadlineNanos));
	}

	private static HttpAnswer hostStopping() {
		return Answers.problem(ErrorCode.DRAINING, "The host is stopping", 0);
	}

	/**
	 * Issues tickets for a caller of another host, which forwarded the request.
	 * @param body the JSON body of the caller's request; empty for one ticket
	 * @return the answer as a message
	 */
	public CompletionStage<PeerMessage> issueForwarded(byte[] body) {
		return issue(body).thenApply(RequestRouter::toMessage);
	}

	/**
	 * Serves a request that another entry host forwarded.
	 * @param request the request
	 * @return the answer as a message; an {@link ErrorAnswer} if this host does not hold
	 * the ticket
	 */
	public CompletionStage<PeerMessage> serveForwarded(RoutedRequest request) {
		CompletableFuture<HttpAnswer> answer = forwardedAnswer(request);
		if (answer.isCompletedExceptionally()) {
			return answer.handle((givenAnswer, ex) -> toError(causeOf(ex)));
		}
		return limitWait(answer, request, request.waitMillis()).thenApply(RequestRouter::toMessage);
	}

	private static PeerMessage toError(Throwable ex) {
		if (ex instanceof NotHolderException notHolder) {
			return new ErrorAnswer(NOT_HOLDER, notHolder.getMessage());
		}
		return toMessage(Answers.problem(ex));
	}

	private CompletableFuture<HttpAnswer> forwardedAnswer(RoutedRequest request) {
		if (request.operation() == ForwardOperation.COLLECT) {
			long deadlineNanos = this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.routeTimeoutMillis);
			return forwardOrCollect(request, deadlineNanos);
		}
		Optional<TicketRegistry> registry = answeringRegistry(request);
		if (registry.isPresent()) {
			return serveLocally(registry.get(), request);
		}
		if (this.registries.hasNoSuccessor(request.ticket().incarnation())) {
			return CompletableFuture.completedFuture(hostStopping());
		}
		Optional<HostAddress> successor = this.registries.successorOf(request.ticket().incarnation());
		if (successor.isPresent()) {
			return forward(successor.get(), request);
		}
		return CompletableFuture
			.failedFuture(new NotHolderException("This host does not hold the ticket and does not know its holder"));
	}

	/**
	 * Collects results for a host that could not reach the holder of a ticket. If only
	 * that host is partitioned from the holder, the request is forwarded to the holder
	 * instead. While a holder hands the tickets over, it refuses the request, and the
	 * successor is not known yet, so that the request is tried again until the deadline.
	 * @param request the request
	 * @param deadlineNanos until when to look for the holder
	 * @return the answer, completed when the job ends or its tasks have been looked up
	 */
	private CompletableFuture<HttpAnswer> forwardOrCollect(RoutedRequest request, long deadlineNanos) {
		ForwardOperation operation = (request.body().length > 0) ? ForwardOperation.SUBMIT : ForwardOperation.STATE;
		RoutedRequest original = request.withOperation(operation);
		Optional<TicketRegistry> registry = answeringRegistry(request);
		if (registry.isPresent()) {
			return serveLocally(registry.get(), original);
		}
		if (this.time.nanoTime() - deadlineNanos >= 0) {
			return this.collector.collect(request);
		}
		Optional<HostAddress> holder = holderOf(request.ticket().incarnation());
		if (holder.isPresent()) {
			return forward(holder.get(), original)
				.exceptionallyCompose((ex) -> (causeOf(ex) instanceof NotHolderException)
						? delayed(() -> forwardOrCollect(request, deadlineNanos))
						: awaitOrCollect(request, deadlineNanos));
		}
		return awaitOrCollect(request, deadlineNanos);
	}

	private CompletableFuture<HttpAnswer> awaitOrCollect(RoutedRequest request, long deadlineNanos) {
		return this.peers.mayHaveSuccessor(request.ticket().incarnation())
				? delayed(() -> forwardOrCollect(request, deadlineNanos)) : this.collector.collect(request);
	}

	private Optional<TicketRegistry> answeringRegistry(RoutedRequest request) {
		return this.registries.find(request.ticket().incarnation())
			.filter((registry) -> registry.canAnswerFor(request.ticket()));
	}

	private CompletableFuture<HttpAnswer> route(RoutedRequest request, long deadlineNanos) {
		Optional<TicketRegistry> registry = answeringRegistry(request);
		if (registry.isPresent()) {
			return serveLocally(registry.get(), request)
				.exceptionallyCompose((ex) -> (causeOf(ex) instanceof NotHolderException)
						? retry(request, deadlineNanos) : CompletableFuture.failedFuture(ex));
		}
		if (this.registries.hasNoSuccessor(request.ticket().incarnation())) {
			return CompletableFuture.completedFuture(hostStopping());
		}
		Optional<HostAddress> holder = holderOf(request.ticket().incarnation());
		if (holder.isPresent()) {
			return forward(holder.get(), request).exceptionallyCompose((ex) -> retry(request, deadlineNanos));
		}
		if (hasNoHolder(request) || this.time.nanoTime() - deadlineNanos >= 0) {
			return collectAtIssuerDomain(request);
		}
		return retry(request, deadlineNanos);
	}

	private boolean hasNoHolder(RoutedRequest request) {
		return this.peers.isLost(issuerOf(request)) && !this.peers.mayHaveSuccessor(request.ticket().incarnation());
	}

	private static EntryHost issuerOf(RoutedRequest request) {
		Ticket ticket = request.ticket();
		return new EntryHost(ticket.domain(), ticket.issuerAddress(), ticket.incarnation());
	}

	private Optional<HostAddress> holderOf(Incarnation incarnation) {
		return this.registries.successorOf(incarnation)
			.or(() -> this.peers.holderOf(incarnation))
			.filter((address) -> !address.equals(this.self.peerAddress()));
	}

	private CompletableFuture<HttpAnswer> retry(RoutedRequest request, long deadlineNanos) {
		if (this.time.nanoTime() - deadlineNanos >= 0 && holderOf(request.ticket().incarnation()).isPresent()) {
			return CompletableFuture
				.completedFuture(outcomeUnknown("The host that holds the ticket did not answer in time"));
		}
		return delayed(() -> route(request, deadlineNanos));
	}

	private static CompletableFuture<HttpAnswer> delayed(Supplier<CompletableFuture<HttpAnswer>> action) {
		Executor delayedExecutor = CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(action, delayedExecutor).thenCompose(Function.identity());
	}

	private CompletableFuture<HttpAnswer> serveLocally(TicketRegistry registry, RoutedRequest request) {
		try {
			return switch (request.operation()) {
				case SUBMIT -> submitLocally(registry, request);
				case STATE -> this.jobs.state(registry, request.ticket());
				case CANCEL -> this.jobs.cancel(registry, request.ticket());
				case COLLECT -> this.collector.collect(request);
				case ISSUE -> issue(request.body());
			};
		}
		catch (MasticwickException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<HttpAnswer> submitLocally(TicketRegistry registry, RoutedRequest request) {
		CompletableFuture<HttpAnswer> answer = this.jobs.submit(registry, request.ticket(), request.body());
		EntryHost runningHost = answer.isDone() ? null : this.jobs.runningHost(registry, request.ticket());
		if (runningHost != null) {
			collectOnceLost(registry, request, runningHost, answer);
		}
		return answer;
	}

	private void collectOnceLost(TicketRegistry registry, RoutedRequest request, EntryHost runningHost,
			CompletableFuture<HttpAnswer> answer) {
		if (answer.isDone()) {
			return;
		}
		if (this.peers.isLost(runningHost)) {
			this.collector.collect(request)
				.thenAccept((givenAnswer) -> this.jobs.completeWith(registry, request.ticket(), givenAnswer));
			return;
		}
		CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
			.execute(() -> collectOnceLost(registry, request, runningHost, answer));
	}

	private CompletableFuture<HttpAnswer> collectAtIssuerDomain(RoutedRequest request) {
		List<EntryHost> hosts = this.peers.reachableHosts(request.ticket().domain())
			.stream()
			.sorted(Comparator.comparing((EntryHost host) -> rendezvousWeight(request, host), Arrays::compareUnsigned))
			.toList();
		if (hosts.isEmpty()) {
			return CompletableFuture
				.completedFuture(outcomeUnknown("No host of the failure domain that issued the ticket is reachable"));
		}
		return collectAtFirstReachable(hosts, 0, request.withOperation(ForwardOperation.COLLECT));
	}

	private CompletableFuture<HttpAnswer> collectAtFirstReachable(List<EntryHost> hosts, int index,
			RoutedRequest request) {
		if (index == hosts.size()) {
			return CompletableFuture
				.completedFuture(outcomeUnknown("No host of the failure domain that issued the ticket answered"));
		}
		EntryHost host = hosts.get(index);
		if (host.equals(this.self)) {
			return this.collector.collect(request);
		}
		return forward(host.peerAddress(), request)
			.exceptionallyCompose((ex) -> collectAtFirstReachable(hosts, index + 1, request));
	}

	/**
	 * Returns a hash of ticket and host. Sorting the hosts of a domain by it makes every
	 * host choose the same collector for a ticket (rendezvous hashing).
	 * @param request the request
	 * @param host a host of the domain that issued the ticket
	 * @return the hash
	 */
	private static byte[] rendezvousWeight(RoutedRequest request, EntryHost host) {
		String text = request.ticket().toString() + host.peerAddress();
		return BodyDigest.of(text.getBytes(StandardCharsets.UTF_8));
	}

	private CompletableFuture<HttpAnswer> forward(HostAddress recipient, RoutedRequest request) {
		this.metrics.countMessage(MessageKind.FORWARD);
		RequestLog.event(logger, request.ticket())
			.addKeyValue("operation", request.operation())
			.addKeyValue("to", recipient)
			.log("Forwarding the request to another entry host");
		return this.transport
			.call(recipient,
					new Forward(request.operation(), request.ticket().toString(), request.body(), request.waitMillis()))
			.thenApply(RequestRouter::fromMessage);
	}

	private static HttpAnswer fromMessage(PeerMessage message) {
		if (message instanceof ForwardAnswer answer) {
			return new HttpAnswer(answer.status(), answer.contentType(), answer.body(), answer.retryAfterMillis());
		}
		throw new NotHolderException("The peer did not serve the forwarded request");
	}

	private static PeerMessage toMessage(HttpAnswer answer) {
		return new ForwardAnswer(answer.status(), answer.contentType(), answer.body(), answer.retryAfterMillis());
	}

	private static HttpAnswer outcomeUnknown(String detail) {
		return Answers.problem(ErrorCode.OUTCOME_UNKNOWN, detail);
	}

	private static Throwable causeOf(Throwable ex) {
		return (ex instanceof CompletionException && ex.getCause() != null) ? ex.getCause() : ex;
	}

}
