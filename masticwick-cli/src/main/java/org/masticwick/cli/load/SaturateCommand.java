package org.masticwick.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.process.Arguments;
import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandResult;
import org.masticwick.cli.process.ExitCode;
import org.masticwick.cli.request.JobAnswer;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * Measures how many tasks one entry host starts per second of its processor time and, for
 * comparison, how many direct calls of an endpoint this tool makes per second of its own.
 * Keeps a fixed number of requests outstanding (closed loop).
 */
final class SaturateCommand implements Command {

	private static final int TICKET_BLOCK_COUNT = 1_000;

	private static final long DEADLINE_MILLIS = 60_000;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final double CLOCK_TICKS_PER_SECOND = 100;

	private static final int USER_TICKS_FIELD = 11;

	@Override
	public String name() {
		return "saturate";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure how many tasks one entry host starts per second of processor time");
		Arguments.addHosts(parser);
		parser.addArgument("--endpoint").required(true).metavar("URL").help("address of the endpoint to call directly");
		parser.addArgument("--pid").type(Long.class).required(true).help("process id of the first host");
		parser.addArgument("--service").setDefault("shop-counter-fitting");
		parser.addArgument("--kind").setDefault("width-check");
		parser.addArgument("--run-ms").dest("run").type(Integer.class).setDefault(1);
		parser.addArgument("--tasks").type(Integer.class).setDefault(1).help("number of tasks per job");
		parser.addArgument("--concurrency").type(Integer.class).setDefault(32).help("number of outstanding jobs");
		parser.addArgument("--duration-s").dest("duration").type(Integer.class).setDefault(8);
		parser.addArgument("--warmup-s").dest("warmup").type(Integer.class).setDefault(8);
	}

	@Override
	public CommandResult run(Namespace arguments) {
		List<HttpUrl> hosts = List.of(Arguments.hosts(arguments).get(0));
		HttpUrl endpoint = Arguments.url(arguments.getString("endpoint"));
		int taskCount = arguments.getInt("tasks");
		TaskSpec task = new TaskSpec(arguments.getString("kind"), "{\"run_ms\":" + arguments.getInt("run") + "}", 0, 0,
				0);
		JobRequest request = new JobRequest(arguments.getString("service"), "saturate", false, true, DEADLINE_MILLIS,
				Collections.nCopies(taskCount, task));
		JobClientOptions options = JobClientOptions.DEFAULT.withTicketBlockCount(TICKET_BLOCK_COUNT);
		long pid = arguments.getLong("pid");
		try (AsyncHttpClient caller = new AsyncHttpClient(); JobClient client = new JobClient(hosts, options)) {
			Supplier<CompletableFuture<Boolean>> submitJob = () -> client.ticketOf(0)
				.thenCompose((ticket) -> client.submit(ticket, request))
				.thenApply((answer) -> answer instanceof JobAnswer.Complete);
			Supplier<CompletableFuture<Boolean>> callDirectly = () -> OverheadCommand.callDirectly(caller, endpoint,
					request);
			measure(submitJob, arguments, arguments.getInt("warmup"), pid);
			Measurement hostMeasurement = measure(submitJob, arguments, arguments.getInt("duration"), pid);
			measure(callDirectly, arguments, arguments.getInt("warmup") / 2, ProcessHandle.current().pid());
			Measurement directMeasurement = measure(callDirectly, arguments, arguments.getInt("duration"),
					ProcessHandle.current().pid());
			return result(hostMeasurement, directMeasurement, taskCount);
		}
	}

	private static Measurement measure(Supplier<CompletableFuture<Boolean>> call, Namespace arguments, int seconds,
			long pid) {
		AtomicBoolean stopped = new AtomicBoolean();
		LongAdder succeededCount = new LongAdder();
		LongAdder failedCount = new LongAdder();
		double startProcessorSeconds = processorSeconds(pid);
		long startNanos = System.nanoTime();
		List<CompletableFuture<Void>> callChains = IntStream.range(0, arguments.getInt("concurrency"))
			.mapToObj((chainIndex) -> CompletableFuture
				.supplyAsync(() -> repeatUntilStopped(call, stopped, succeededCount, failedCount))
				.thenCompose((completion) -> completion))
			.toList();
		sleep(seconds);
		stopped.set(true);
		callChains.forEach(CompletableFuture::join);
		double elapsedSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
		return new Measurement(succeededCount.sum(), failedCount.sum(), elapsedSeconds,
				processorSeconds(pid) - startProcessorSeconds);
	}

	private static CompletableFuture<Void> repeatUntilStopped(Supplier<CompletableFuture<Boolean>> call,
			AtomicBoolean stopped, LongAdder succeededCount, LongAdder failedCount) {
		if (stopped.get()) {
			return CompletableFuture.completedFuture(null);
		}
		return call.get().exceptionally((ex) -> false).thenComposeAsync((succeeded) -> {
			(succeeded ? succeededCount : failedCount).increment();
			return repeatUntilStopped(call, stopped, succeededCount, failedCount);
		});
	}

	private static double processorSeconds(long pid) {
		try {
			String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]))
					/ CLOCK_TICKS_PER_SECOND;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void sleep(int seconds) {
		try {
			TimeUnit.SECONDS.sleep(seconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static CommandResult result(Measurement hostMeasurement, Measurement directMeasurement, int taskCount) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		hostMeasurement.writeTo(json.putObject("entry_host"), taskCount);
		directMeasurement.writeTo(json.putObject("direct"), 1);
		String text = "entry host, jobs of " + taskCount + ": " + hostMeasurement.toText(taskCount)
				+ "\ndirect calls by OkHttp: " + directMeasurement.toText(1);
		return new CommandResult((hostMeasurement.failedCallCount() == 0) ? ExitCode.OK : ExitCode.FAILED, json, text);
	}

	/**
	 * Throughput and processor time of one measured period.
	 *
	 * @param succeededCallCount the number of calls that succeeded
	 * @param failedCallCount the number of calls that failed
	 * @param elapsedSeconds the length of the measured period, in seconds
	 * @param processorSeconds the processor time that the measured process used in the
	 * period, in seconds
	 */
	private record Measurement(long succeededCallCount, long failedCallCount, double elapsedSeconds,
			double processorSeconds) {

		private double startsPerCoreSecond(int taskCount) {
			return this.succeededCallCount * taskCount / Math.max(this.processorSeconds, 1 / CLOCK_TICKS_PER_SECOND);
		}

		private void writeTo(ObjectNode json, int taskCount) {
			json.put("starts_per_second", this.succeededCallCount * taskCount / this.elapsedSeconds)
				.put("starts_per_core_second", startsPerCoreSecond(taskCount))
				.put("processor_seconds", this.processorSeconds)
				.put("elapsed_seconds", this.elapsedSeconds)
				.put("failed", this.failedCallCount);
		}

		private String toText(int taskCount) {
			return String.format(Locale.ROOT,
					"%.0f starts/s, %.0f starts per second of processor time (%.2f s in %.2f s), %d calls failed",
					this.succeededCallCount * taskCount / this.elapsedSeconds, startsPerCoreSecond(taskCount),
					this.processorSeconds, this.elapsedSeconds, this.failedCallCount);
		}

	}

}
