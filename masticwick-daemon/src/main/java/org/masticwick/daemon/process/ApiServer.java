package org.masticwick.daemon.process;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Router;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.exception.MethodNotAllowedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.request.Ticket;
import org.masticwick.daemon.connection.NamedThreads;
import org.masticwick.daemon.connection.http.EdgeSettings;
import org.masticwick.daemon.connection.http.RequestEdge;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.request.Answers;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.RequestException;
import org.masticwick.daemon.request.RequestLog;
import org.masticwick.daemon.request.RoutedRequest;
import org.masticwick.wire.PeerMessage.ForwardOperation;

/**
 * The HTTP server for callers and operators.
 */
final class ApiServer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ApiServer.class);

	private static final int WORKER_COUNT = 4;

	private static final int IO_THREAD_COUNT = 2;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final String JOB_PATH = "/v1/jobs/{ticket}";

	private static final Pattern WAIT_MILLIS_PATTERN = Pattern.compile("\\d{1,18}");

	private static final byte[] EMPTY_BODY = {};

	private final ApiBackend backend;

	private final ApiLimits limits;

	private final ExecutorService workers = Executors.newFixedThreadPool(WORKER_COUNT, new NamedThreads("api"));

	private final Jooby app = new Jooby();

	private final Server server;

	ApiServer(ApiBackend backend, ApiLimits limits, String ip, int port) {
		this.backend = backend;
		this.limits = limits;
		this.app.setServerOptions(options(limits, ip, port));
		this.app.setExecutionMode(ExecutionMode.WORKER);
		this.app.setWorker(this.workers);
		addRoutes();
		this.server = RequestEdge.startWithLimits(edgeSettings(), this.app::start);
	}

	private static ServerOptions options(ApiLimits limits, String ip, int port) {
		ServerOptions options = new ServerOptions();
		options.setHost(ip);
		options.setPort(port);
		options.setIoThreads(IO_THREAD_COUNT);
		options.setWorkerThreads(WORKER_COUNT);
		options.setMaxRequestSize(limits.bodyBytes());
		options.setBufferSize(limits.bodyBytes());
		options.setDefaultHeaders(false);
		options.setHttp2(false);
		return options;
	}

	private EdgeSettings edgeSettings() {
		return new EdgeSettings(this.limits.headerBytes(), this.limits.bodyBytes(), this.limits.totalBodyBytes(),
				this.limits.requestTimeoutMillis(), (code, detail) -> refusal(code, detail).body());
	}

	HostAddress address() {
		ServerOptions options = this.server.getOptions();
		return new HostAddress(options.getHost(), options.getPort());
	}

	/**
	 * Returns the operations that the server offers.
	 * @return methods and path patterns, such as {@code GET /health}
	 */
	Set<String> operations() {
		return this.app.getRoutes()
			.stream()
			.map((route) -> route.getMethod() + " " + route.getPattern())
			.collect(Collectors.toUnmodifiableSet());
	}

	private void addRoutes() {
		route(Router.POST, "/v1/tickets", (ctx) -> this.backend.issueTickets(body(ctx)));
		route(Router.PUT, JOB_PATH,
				(ctx) -> this.backend.serveJobRequest(jobRequest(ctx, ForwardOperation.SUBMIT, body(ctx))));
		route(Router.GET, JOB_PATH,
				(ctx) -> this.backend.serveJobRequest(jobRequest(ctx, ForwardOperation.STATE, EMPTY_BODY)));
		route(Router.DELETE, JOB_PATH,
				(ctx) -> this.backend.serveJobRequest(jobRequest(ctx, ForwardOperation.CANCEL, EMPTY_BODY)));
		route(Router.GET, "/v1/version", (ctx) -> completed(this.backend.versionReport()));
		route(Router.GET, "/v1/site", (ctx) -> completed(this.backend.siteState()));
		route(Router.GET, "/v1/notes/{note}", (ctx) -> completed(this.backend.noteReport(ctx.path("note").value())));
		route(Router.GET, "/health", (ctx) -> completed(text(StatusCode.OK_CODE, "alive")));
		route(Router.GET, "/ready", (ctx) -> completed(readiness()));
		route(Router.GET, "/metrics", (ctx) -> completed(metrics()));
		route(Router.GET, "/dump", (ctx) -> completed(this.backend.stateDump()));
		this.app.error(this::onError);
	}

	/**
	 * Adds a route whose handler may complete asynchronously. Jooby sends no response of
	 * its own for a route whose return type is the context.
	 * @param method the HTTP method
	 * @param path the path pattern
	 * @param source returns a future that completes with the answer
	 */
	private void route(String method, String path, Function<Context, CompletableFuture<HttpAnswer>> source) {
		this.app.route(method, path, (ctx) -> handle(ctx, source)).setReturnType(Context.class);
	}

	private RoutedRequest jobRequest(Context ctx, ForwardOperation operation, byte[] body) {
		return new RoutedRequest(operation, Ticket.parse(ctx.path("ticket").value()), body, waitMillis(ctx, operation));
	}

	private static byte[] body(Context ctx) {
		return ctx.body().bytes();
	}

	private long waitMillis(Context ctx, ForwardOperation operation) {
		long defaultMillis = (operation == ForwardOperation.STATE) ? 0 : this.limits.maxWaitMillis();
		String text = ctx.query("wait_ms").valueOrNull();
		if (text == null) {
			return defaultMillis;
		}
		if (!WAIT_MILLIS_PATTERN.matcher(text).matches()) {
			throw new RequestException(ErrorCode.INVALID_REQUEST,
					"wait_ms: must be a whole number of milliseconds, at least 0");
		}
		return Math.min(Long.parseLong(text), this.limits.maxWaitMillis());
	}

	private HttpAnswer readiness() {
		return this.backend.ready() ? text(StatusCode.OK_CODE, "ready")
				: text(StatusCode.SERVICE_UNAVAILABLE_CODE, "not ready");
	}

	private HttpAnswer metrics() {
		return new HttpAnswer(StatusCode.OK_CODE, Metrics.CONTENT_TYPE, this.backend.metrics(), HttpAnswer.NO_RETRY);
	}

	private static HttpAnswer text(int status, String text) {
		return new HttpAnswer(status, "text/plain", text.getBytes(StandardCharsets.UTF_8), HttpAnswer.NO_RETRY);
	}

	private static CompletableFuture<HttpAnswer> completed(HttpAnswer answer) {
		return CompletableFuture.completedFuture(answer);
	}

	private Context handle(Context ctx, Function<Context, CompletableFuture<HttpAnswer>> handler) {
		CompletableFuture<HttpAnswer> answer;
		try {
			answer = handler.apply(ctx);
		}
		catch (MasticwickException ex) {
			answer = completed(refusal(ex.errorCode(), ex.getMessage()));
		}
		if (answer.isDone()) {
			return send(ctx, answer);
		}
		CompletableFuture<HttpAnswer> pending = answer;
		pending.whenComplete((ignored, ex) -> send(ctx, pending));
		return ctx;
	}

	private Context send(Context ctx, CompletableFuture<HttpAnswer> completedAnswer) {
		HttpAnswer answer = completedAnswer.exceptionally(ApiServer::internalError).join();
		logAnswer(ctx, answer.status());
		ctx.setResponseCode(answer.status());
		ctx.setResponseHeader("Content-Type", answer.contentType());
		if (answer.retryAfterMillis() >= 0) {
			long seconds = (answer.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			ctx.setResponseHeader("Retry-After", Long.toString(seconds));
		}
		return ctx.send(answer.body());
	}

	private static void logAnswer(Context ctx, int status) {
		LoggingEventBuilder event = logger.atDebug()
			.addKeyValue("method", ctx.getMethod())
			.addKeyValue("route", () -> ctx.getRoute().getPattern())
			.addKeyValue("status", status);
		String ticket = ctx.pathMap().get("ticket");
		((ticket != null) ? event.addKeyValue("ticket", () -> RequestLog.withoutIntegrityCheck(ticket)) : event)
			.log("Request answered");
	}

	private HttpAnswer refusal(ErrorCode code, String detail) {
		this.backend.countRefusal(code);
		return Answers.problem(code, detail);
	}

	private static HttpAnswer internalError(Throwable ex) {
		logger.error("Request failed with an internal error; answering with problem details", ex);
		return Answers.problem(ex);
	}

	private void onError(Context ctx, Throwable ex, StatusCode status) {
		if (ex instanceof MethodNotAllowedException methodError) {
			ctx.setResponseHeader("Allow", String.join(", ", methodError.getAllow()));
		}
		send(ctx, completed(problemOf(ex, status)));
	}

	private HttpAnswer problemOf(Throwable ex, StatusCode status) {
		return switch (status.value()) {
			case StatusCode.NOT_FOUND_CODE -> refusal(ErrorCode.NOT_FOUND, "The path does not exist");
			case StatusCode.METHOD_NOT_ALLOWED_CODE ->
				refusal(ErrorCode.METHOD_NOT_ALLOWED, "The path does not support this method");
			case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE ->
				refusal(ErrorCode.REQUEST_TOO_LARGE, "The request body exceeds the maximum size");
			case StatusCode.BAD_REQUEST_CODE ->
				refusal(ErrorCode.MALFORMED_REQUEST, "The request can't be parsed: " + ex.getMessage());
			default -> internalError(ex);
		};
	}

	@Override
	public void close() {
		this.app.stop();
		this.server.stop();
		this.workers.shutdown();
	}

}
