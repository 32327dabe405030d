package org.masticwick.standin.process;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.standin.connection.Json;
import org.masticwick.standin.request.PerTaskCounter;

/**
 * Serves the administrative HTTP API of the workers of a process, with which tests set
 * faults and read counters.
 */
public final class WorkerAdmin implements AutoCloseable {

	private static final int THREAD_COUNT = 2;

	private final WorkerFleet fleet;

	private final Jooby application = new Jooby();

	private final NettyServer server = new NettyServer();

	/**
	 * Creates the routes without opening the listener.
	 * @param fleet the workers to administer
	 */
	public WorkerAdmin(WorkerFleet fleet) {
		this.fleet = fleet;
		this.application.setExecutionMode(ExecutionMode.WORKER);
		this.application.setStartupSummary(List.of());
		addRoutes();
		this.application.error((context, cause, code) -> sendError(context, cause, code));
	}

	/**
	 * Opens the listener.
	 * @param ip the IP address to listen on
	 * @param port the port, or 0 to let the operating system choose one
	 * @return the address of the listener
	 */
	public HostAddress open(String ip, int port) {
		ServerOptions options = new ServerOptions().setPort(port)
			.setDefaultHeaders(false)
			.setIoThreads(THREAD_COUNT)
			.setWorkerThreads(THREAD_COUNT);
		options.setHost(ip);
		this.server.setOptions(options);
		this.server.start(this.application);
		return new HostAddress(ip, options.getPort());
	}

	@Override
	public void close() {
		this.server.stop();
	}

	private void addRoutes() {
		this.application.get("/admin/starts", this::sendStarts);
		this.application.delete("/admin/starts", (context) -> {
			this.fleet.clearStarts();
			return context.send(StatusCode.NO_CONTENT);
		});
		this.application.get("/admin/counters", (context) -> sendJson(context, this.fleet.counters()));
		this.application.get("/admin/workers", (context) -> sendJson(context, this.fleet.describe()));
		this.application.post("/admin/faults", (context) -> {
			this.fleet.applyFaults(Json.read(context.body().bytes(), WorkerFaultRequest.class));
			return context.send(StatusCode.NO_CONTENT);
		});
	}

	private Context sendStarts(Context context) throws IOException {
		PerTaskCounter.Filter filter = parseFilter(context);
		context.setResponseType(MediaType.json);
		try (OutputStream responseBody = new SenderOutputStream(context.responseSender())) {
			this.fleet.writeStarts(filter, responseBody);
		}
		return context;
	}

	private static PerTaskCounter.Filter parseFilter(Context context) {
		return new PerTaskCounter.Filter(context.query("ticket").value(""), context.query("min").intValue(1));
	}

	private static Context sendJson(Context context, Object value) {
		return context.setResponseType(MediaType.json).send(Json.write(value));
	}

	private static void sendError(Context context, Throwable cause, StatusCode code) {
		int status = (cause instanceof MasticwickException ex) ? ex.errorCode().httpStatus() : code.value();
		context.setResponseCode(status).setResponseType(MediaType.text).send(String.valueOf(cause.getMessage()));
	}

}
