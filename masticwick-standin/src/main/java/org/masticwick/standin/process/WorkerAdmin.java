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
 * Serves the routes by which tests steer and read the workers of a process.
 */
public final class WorkerAdmin implements AutoCloseable {

	private static final int THREAD_COUNT = 2;

	private final WorkerFleet fleet;

	private final Jooby application = new Jooby();

	private final NettyServer server = new NettyServer();

	/**
	 * Creates the routes.
	 * @param fleet the workers
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
	 * @param ip the IP number
	 * @param port the port, or 0 for a free one
	 * @return where it listens
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
		this.application.get("/admin/counters", (context) -> send(context, this.fleet.counters()));
		this.application.get("/admin/workers", (context) -> send(context, this.fleet.describe()));
		this.application.post("/admin/faults", (context) -> {
			this.fleet.applyFaults(Json.read(context.body().bytes(), WorkerFaultRequest.class));
			return context.send(StatusCode.NO_CONTENT);
		});
	}

	private Context sendStarts(Context context) throws IOException {
		PerTaskCounter.Filter filter = filter(context);
		context.setResponseType(MediaType.json);
		try (OutputStream target = new SenderOutputStream(context.responseSender())) {
			this.fleet.writeStarts(filter, target);
		}
		return context;
	}

	private static PerTaskCounter.Filter filter(Context context) {
		return new PerTaskCounter.Filter(context.query("ticket").value(""), context.query("min").intValue(1));
	}

	private static Context send(Context context, Object value) {
		return context.setResponseType(MediaType.json).send(Json.write(value));
	}

	private static void sendError(Context context, Throwable cause, StatusCode code) {
		int status = (cause instanceof MasticwickException ex) ? ex.errorCode().httpStatus() : code.value();
		context.setResponseCode(status).setResponseType(MediaType.text).send(String.valueOf(cause.getMessage()));
	}

}
