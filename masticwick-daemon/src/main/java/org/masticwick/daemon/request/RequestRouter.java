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
 * Brings each request to the one process that may start jobs under its ticket, and to a
 * collector when that process is lost.
 */
public final class RequestRouter {

	private static final Logger logger = LoggerFactory.getLogger(RequestRouter.class);

	private static final long RETRY_MILLIS = 100;

	private static final String NOT_HOLDER = "not-holder";

	private final EntryHost self;

	private final TicketRegistries books;

	private final TicketIssuer issuer;

	private final JobService jobs;

	private final ResultCollector collector;

	private final PeerDirectory peers;

	private final PeerTransport transport;

	private final Metrics metrics;

	private final TimeSource time;

	private final long routeLimitMillis;

	/**
	 * Creates a router.
	 * @param self this process
	 * @param books the books of this process
	 * @param issuer issues tickets
	 * @param jobs serves jobs whose tickets are held here
	 * @param collector collects results of lost homes
	 * @param peers the other entry hosts
	 * @param transport the way to them
	 * @param metrics the metrics
	 * @param time the clock
	 * @param routeLimitMillis how long to look for a holder, in milliseconds
	 */
	public RequestRouter(EntryHost self, TicketRegistries books, TicketIssuer issuer, JobService jobs,
			ResultCollector collector, PeerDirectory peers, PeerTransport transport, Metrics metrics, TimeSource time,
			long routeLimitMillis) {
		this.self = self;
		this.books = books;
		this.issuer = issuer;
		this.jobs = jobs;
		this.collector = collector;
		this.peers = peers;
		this.transport = transport;
		this.metrics = metrics;
		this.time = time;
		this.routeLimitMillis = routeLimitMillis;
	}

	/**
	 * Serves a request that a caller sent to this host.
	 * @param request the request
	 * @return the answer to come; it never completes with an exception
	 */
	public CompletableFuture<HttpAnswer> serve(RoutedRequest request) {
		long limitNanos = this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.routeLimitMillis);
		boolean here = answeringBook(request).isPresent();
		long waitMillis = request.waitMillis() + (here ? 0 : this.routeLimitMillis);
		return waited(route(request, limitNanos), request, waitMillis);
	}

	private CompletableFuture<HttpAnswer> waited(CompletableFuture<HttpAnswer> answer, RoutedRequest request,
			long waitMillis) {
		CompletableFuture<HttpAnswer> copy = answer.thenApply(Function.identity());
		return (copy.isDone() ? copy : copy.completeOnTimeout(Answers.running(request.ticket().toString()), waitMillis,
				TimeUnit.MILLISECONDS))
			.exceptionally((ex) -> refused(causeOf(ex)));
	}

	private HttpAnswer refused(Throwable cause) {
		if (cause instanceof MasticwickException known) {
			this.metrics.countRefusal(known.errorCode());
		}
		return Answers.problem(cause);
	}

	/**
	 * Issues tickets, or has them issued by the heir once the own ones were handed over.
	 * @param body the body of the caller's request
	 * @return the answer to come; it never completes with an exception
	 */
	public CompletableFuture<HttpAnswer> issue(byte[] body) {
		return issue(body, this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.routeLimitMillis));
	}

	private CompletableFuture<HttpAnswer> issue(byte[] body, long limitNanos) {
		try {
			return CompletableFuture.completedFuture(this.issuer.issue(body));
		}
		catch (NotHolderException ex) {
			return issueAtHeir(body, limitNanos);
		}
	}

	private CompletableFuture<HttpAnswer> issueAtHeir(byte[] body, long limitNanos) {
		Optional<HostAddress> heir = this.books.heirOf(this.self.incarnation());
		if (heir.isPresent()) {
			this.metrics.countMessage(MessageKind.FORWARD);
			return this.transport.call(heir.get(), new Forward(ForwardOperation.ISSUE, "", body, 0))
				.thenApply(RequestRouter::fromMessage)
				.exceptionally((ex) -> stopping());
		}
		if (this.books.withoutHeir(this.self.incarnation()) || this.time.nanoTime() - limitNanos >= 0) {
			return CompletableFuture.completedFuture(stopping());
		}
		Executor later = CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(() -> issue(body, limitNanos), later).thenCompose(Function.identity());
	}

	private static HttpAnswer stopping() {
		return Answers.problem(ErrorCode.DRAINING, "The host is stopping", 0);
	}

	/**
	 * Issues tickets for a caller of another host.
	 * @param body the body of the caller's request
	 * @return the answer to come
	 */
	public CompletionStage<PeerMessage> issueForwarded(byte[] body) {
		return issue(body).thenApply(RequestRouter::toMessage);
	}

	/**
	 * Serves a request that another entry host passed on.
	 * @param request the request
	 * @return the answer to come, or an error if this host can't serve it
	 */
	public CompletionStage<PeerMessage> serveForwarded(RoutedRequest request) {
		CompletableFuture<HttpAnswer> answer = forwardedAnswer(request);
		if (answer.isCompletedExceptionally()) {
			return answer.handle((given, ex) -> toError(causeOf(ex)));
		}
		return waited(answer, request, request.waitMillis()).thenApply(RequestRouter::toMessage);
	}

	private static PeerMessage toError(Throwable ex) {
		if (ex instanceof NotHolderException notHolder) {
			return new ErrorAnswer(NOT_HOLDER, notHolder.getMessage());
		}
		return toMessage(Answers.problem(ex));
	}

	private CompletableFuture<HttpAnswer> forwardedAnswer(RoutedRequest request) {
		if (request.operation() == ForwardOperation.COLLECT) {
			return collectHere(request);
		}
		Optional<TicketRegistry> book = answeringBook(request);
		if (book.isPresent()) {
			return local(book.get(), request);
		}
		if (this.books.withoutHeir(request.ticket().incarnation())) {
			return CompletableFuture.completedFuture(stopping());
		}
		Optional<HostAddress> heir = this.books.heirOf(request.ticket().incarnation());
		if (heir.isPresent()) {
			return call(heir.get(), request);
		}
		return CompletableFuture.failedFuture(new NotHolderException("This host does not hold the ticket"));
	}

	/**
	 * Collects for a host that could not reach the holder of a ticket. It may merely be
	 * cut off from the holder, which then answers by way of this host.
	 * @param request the request
	 * @return the answer to come
	 */
	private CompletableFuture<HttpAnswer> collectHere(RoutedRequest request) {
		ForwardOperation operation = (request.body().length > 0) ? ForwardOperation.SUBMIT : ForwardOperation.STATE;
		RoutedRequest original = request.as(operation);
		Optional<TicketRegistry> book = answeringBook(request);
		if (book.isPresent()) {
			return local(book.get(), original);
		}
		return holderOf(request.ticket().incarnation()).map((holder) -> call(holder, original))
			.map((answer) -> answer.exceptionallyCompose((ex) -> this.collector.collect(request)))
			.orElseGet(() -> this.collector.collect(request));
	}

	private Optional<TicketRegistry> answeringBook(RoutedRequest request) {
		return this.books.find(request.ticket().incarnation()).filter((book) -> book.answersFor(request.ticket()));
	}

	private CompletableFuture<HttpAnswer> route(RoutedRequest request, long limitNanos) {
		Optional<TicketRegistry> book = answeringBook(request);
		if (book.isPresent()) {
			return local(book.get(), request).exceptionallyCompose((ex) -> (causeOf(ex) instanceof NotHolderException)
					? retry(request, limitNanos) : CompletableFuture.failedFuture(ex));
		}
		if (this.books.withoutHeir(request.ticket().incarnation())) {
			return CompletableFuture.completedFuture(stopping());
		}
		Optional<HostAddress> holder = holderOf(request.ticket().incarnation());
		if (holder.isPresent()) {
			return call(holder.get(), request).exceptionallyCompose((ex) -> retry(request, limitNanos));
		}
		if (this.peers.isLost(homeOf(request)) || this.time.nanoTime() - limitNanos >= 0) {
			return collect(request);
		}
		return retry(request, limitNanos);
	}

	private static EntryHost homeOf(RoutedRequest request) {
		Ticket ticket = request.ticket();
		return new EntryHost(ticket.domain(), ticket.issuerAddress(), ticket.incarnation());
	}

	private Optional<HostAddress> holderOf(Incarnation incarnation) {
		return this.books.heirOf(incarnation)
			.or(() -> this.peers.holderOf(incarnation))
			.filter((address) -> !address.equals(this.self.peerAddress()));
	}

	private CompletableFuture<HttpAnswer> retry(RoutedRequest request, long limitNanos) {
		if (this.time.nanoTime() - limitNanos >= 0 && holderOf(request.ticket().incarnation()).isPresent()) {
			return CompletableFuture.completedFuture(unknown("The home of the ticket does not answer"));
		}
		Executor later = CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(() -> route(request, limitNanos), later).thenCompose(Function.identity());
	}

	private CompletableFuture<HttpAnswer> local(TicketRegistry book, RoutedRequest request) {
		try {
			return switch (request.operation()) {
				case SUBMIT -> submitLocal(book, request);
				case STATE -> this.jobs.state(book, request.ticket());
				case CANCEL -> this.jobs.cancel(book, request.ticket());
				case COLLECT -> this.collector.collect(request);
				case ISSUE -> issue(request.body());
			};
		}
		catch (MasticwickException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<HttpAnswer> submitLocal(TicketRegistry book, RoutedRequest request) {
		CompletableFuture<HttpAnswer> answer = this.jobs.submit(book, request.ticket(), request.body());
		EntryHost runsAt = answer.isDone() ? null : this.jobs.runsAt(book, request.ticket());
		if (runsAt != null) {
			collectIfLost(book, request, runsAt, answer);
		}
		return answer;
	}

	private void collectIfLost(TicketRegistry book, RoutedRequest request, EntryHost runsAt,
			CompletableFuture<HttpAnswer> answer) {
		if (answer.isDone()) {
			return;
		}
		if (this.peers.isLost(runsAt)) {
			this.collector.collect(request).thenAccept((given) -> this.jobs.adopt(book, request.ticket(), given));
			return;
		}
		CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS)
			.execute(() -> collectIfLost(book, request, runsAt, answer));
	}

	private CompletableFuture<HttpAnswer> collect(RoutedRequest request) {
		List<EntryHost> hosts = this.peers.reachableHosts(request.ticket().domain())
			.stream()
			.sorted(Comparator.comparing((EntryHost host) -> weight(request, host), Arrays::compareUnsigned))
			.toList();
		if (hosts.isEmpty()) {
			return CompletableFuture.completedFuture(unknown("No host of the home's failure domain is reachable"));
		}
		return collectAt(hosts, 0, request.as(ForwardOperation.COLLECT));
	}

	private CompletableFuture<HttpAnswer> collectAt(List<EntryHost> hosts, int index, RoutedRequest request) {
		if (index == hosts.size()) {
			return CompletableFuture.completedFuture(unknown("No host of the home's failure domain answers"));
		}
		EntryHost host = hosts.get(index);
		if (host.equals(this.self)) {
			return this.collector.collect(request);
		}
		return call(host.peerAddress(), request).exceptionallyCompose((ex) -> collectAt(hosts, index + 1, request));
	}

	private static byte[] weight(RoutedRequest request, EntryHost host) {
		String text = request.ticket().toString() + host.peerAddress();
		return BodyDigest.of(text.getBytes(StandardCharsets.UTF_8));
	}

	private CompletableFuture<HttpAnswer> call(HostAddress to, RoutedRequest request) {
		this.metrics.countMessage(MessageKind.FORWARD);
		RequestLog.event(logger, request.ticket())
			.addKeyValue("operation", request.operation())
			.addKeyValue("to", to)
			.log("Request forwarded");
		return this.transport
			.call(to,
					new Forward(request.operation(), request.ticket().toString(), request.body(), request.waitMillis()))
			.thenApply(RequestRouter::fromMessage);
	}

	private static HttpAnswer fromMessage(PeerMessage message) {
		if (message instanceof ForwardAnswer answer) {
			return new HttpAnswer(answer.status(), answer.contentType(), answer.body(), answer.retryAfterMillis());
		}
		throw new NotHolderException("The peer can't serve the request");
	}

	private static PeerMessage toMessage(HttpAnswer answer) {
		return new ForwardAnswer(answer.status(), answer.contentType(), answer.body(), answer.retryAfterMillis());
	}

	private static HttpAnswer unknown(String detail) {
		return Answers.problem(ErrorCode.OUTCOME_UNKNOWN, detail);
	}

	private static Throwable causeOf(Throwable ex) {
		return (ex instanceof CompletionException && ex.getCause() != null) ? ex.getCause() : ex;
	}

}
