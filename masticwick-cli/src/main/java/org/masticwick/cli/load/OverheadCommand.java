package org.masticwick.cli.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;
import org.HdrHistogram.Histogram;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.connection.HttpResponse;
import org.masticwick.cli.process.Arguments;
import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandResult;
import org.masticwick.cli.process.ExitCode;
import org.masticwick.cli.request.JobAnswer;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;
import org.masticwick.cli.request.Ticket;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * Measures the latency that dispatching through one host (one hop) or through an entry
 * host and the host that issued the ticket (two hops) adds to a direct call of an
 * endpoint. Sends one request at a time, in turn by each path. The system must be
 * otherwise idle.
 */
final class OverheadCommand implements Command {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final int WARMUP_COUNT = 300;

	private static final int TICKET_BLOCK_COUNT = 500;

	private static final double MICROS_PER_MILLI = 1_000;

	private static final long DEADLINE_MILLIS = 10_000;

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(DEADLINE_MILLIS);

	@Override
	public String name() {
		return "overhead";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure the latency that dispatching adds to a direct call of an endpoint, on an idle system");
		Arguments.addHosts(parser);
		parser.addArgument("--endpoint").required(true).metavar("URL").help("address of the endpoint to call directly");
		parser.addArgument("--service").setDefault("shop-counter-fitting");
		parser.addArgument("--kind").setDefault("width-check");
		parser.addArgument("--run-ms").dest("run").type(Integer.class).setDefault(1);
		parser.addArgument("--count").type(Integer.class).setDefault(2_000);
	}

	@Override
	public CommandResult run(Namespace arguments) {
		List<HttpUrl> hosts = Arguments.hosts(arguments);
		HttpUrl endpoint = Arguments.url(arguments.getString("endpoint"));
		TaskSpec task = new TaskSpec(arguments.getString("kind"), "{\"run_ms\":" + arguments.getInt("run") + "}", 0, 0,
				0);
		JobRequest request = new JobRequest(arguments.getString("service"), "overhead", false, true, DEADLINE_MILLIS,
				List.of(task));
		JobClientOptions options = JobClientOptions.DEFAULT.withTicketBlockCount(TICKET_BLOCK_COUNT);
		try (AsyncHttpClient caller = new AsyncHttpClient(); JobClient client = new JobClient(hosts, options)) {
			Map<String, IntPredicate> callsByPath = new TreeMap<>();
			callsByPath.put("direct", (index) -> awaitDirectCall(caller, endpoint, request));
			callsByPath.put("one hop", (index) -> awaitJob(client, 0, 0, request));
			if (hosts.size() > 1) {
				callsByPath.put("two hops", (index) -> awaitJob(client, 0, 1, request));
			}
			return result(measure(callsByPath, arguments.getInt("count")));
		}
	}

	private static Map<String, Histogram> measure(Map<String, IntPredicate> callsByPath, int count) {
		Map<String, Histogram> histograms = new TreeMap<>();
		callsByPath.keySet().forEach((pathCall) -> histograms.put(pathCall, new Histogram(SIGNIFICANT_DIGITS)));
		for (int index = -WARMUP_COUNT; index < count; index++) {
			for (Map.Entry<String, IntPredicate> pathCall : callsByPath.entrySet()) {
				long startNanos = System.nanoTime();
				boolean answered = pathCall.getValue().test(index);
				long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
				if (answered && index >= 0) {
					histograms.get(pathCall.getKey()).recordValue(micros);
				}
			}
		}
		return histograms;
	}

	private static boolean awaitDirectCall(AsyncHttpClient caller, HttpUrl endpoint, JobRequest request) {
		return AsyncHttpClient.await(callDirectly(caller, endpoint, request));
	}

	static CompletableFuture<Boolean> callDirectly(AsyncHttpClient caller, HttpUrl endpoint, JobRequest request) {
		TaskSpec task = request.tasks().get(0);
		HttpUrl url = endpoint.newBuilder().addPathSegments("tasks/direct-" + UUID.randomUUID() + ".0").build();
		Map<String, String> headers = Map.of("Task-Service", request.service(), "Task-Kind", task.kind(),
				"Task-Lease-Millis", Long.toString(DEADLINE_MILLIS));
		byte[] body = task.payload().getBytes(StandardCharsets.UTF_8);
		return caller.post(url, headers, body, CALL_TIMEOUT).thenApply(HttpResponse::successful);
	}

	private static boolean awaitJob(JobClient client, int issuerIndex, int entryIndex, JobRequest request) {
		Ticket ticket = AsyncHttpClient.await(client.ticketOf(issuerIndex));
		JobAnswer answer = AsyncHttpClient.await(client.submit(ticket, client.hosts().get(entryIndex), request));
		return answer instanceof JobAnswer.Complete;
	}

	private static CommandResult result(Map<String, Histogram> histograms) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		StringBuilder text = new StringBuilder(
				"ms         count       p50       p90       p99     p99.9  added p50  added p99");
		Quantiles directQuantiles = Quantiles.of(histograms.get("direct"), 1 / MICROS_PER_MILLI);
		histograms.forEach((path, histogram) -> {
			Quantiles quantiles = Quantiles.of(histogram, 1 / MICROS_PER_MILLI);
			JsonNode pathJson = json.putObject(path)
				.put("count", quantiles.count())
				.put("p50_ms", quantiles.p50())
				.put("p90_ms", quantiles.p90())
				.put("p99_ms", quantiles.p99())
				.put("p999_ms", quantiles.p999())
				.put("added_p50_ms", quantiles.p50() - directQuantiles.p50())
				.put("added_p99_ms", quantiles.p99() - directQuantiles.p99());
			text.append("%n%-9s%7d%10.3f%10.3f%10.3f%10.3f%11.3f%11.3f".formatted(path, quantiles.count(),
					quantiles.p50(), quantiles.p90(), quantiles.p99(), quantiles.p999(),
					pathJson.path("added_p50_ms").asDouble(), pathJson.path("added_p99_ms").asDouble()));
		});
		return new CommandResult(ExitCode.OK, json, text.toString());
	}

}
