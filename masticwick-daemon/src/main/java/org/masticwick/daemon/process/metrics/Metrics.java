package org.masticwick.daemon.process.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.wire.TrafficCounters;

/**
 * Counts what an entry host does, for Prometheus.
 */
public final class Metrics {

	/** The media type of {@link #scrape()}. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter messages = counter("masticwick_messages_total", "Messages sent, by kind.", "kind");

	private final Counter wasted = counter("masticwick_messages_wasted_total",
			"Messages that moved no task nearer to its answer, by kind.", "kind");

	private final Counter answers = counter("masticwick_answers_total", "Final answers to callers, by code.", "code");

	private final Counter starts = counter("masticwick_task_starts_total", "Tasks posted to endpoints, by service.",
			"service");

	private final Histogram responseSeconds = histogram("masticwick_response_seconds",
			"Time from a submission to its final answer.");

	private final Histogram queueSeconds = histogram("masticwick_queue_wait_seconds",
			"Time from the admission of a task to its start.");

	/**
	 * Counts a message that was sent.
	 * @param kind the kind of message
	 */
	public void message(MessageKind kind) {
		this.messages.labelValues(kind.label()).inc();
	}

	/**
	 * Counts a message that was wasted.
	 * @param kind the kind of waste
	 */
	public void waste(WasteKind kind) {
		this.wasted.labelValues(kind.label()).inc();
	}

	/**
	 * Counts a task that was posted.
	 * @param service the service
	 * @param waitNanos how long the task had waited, in nanoseconds
	 */
	public void start(String service, long waitNanos) {
		message(MessageKind.START);
		this.starts.labelValues(service).inc();
		this.queueSeconds.observe(waitNanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts a complete answer.
	 * @param responseNanos the time from the submission, in nanoseconds
	 */
	public void complete(long responseNanos) {
		this.answers.labelValues("complete").inc();
		this.responseSeconds.observe(responseNanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts an answer that is an error.
	 * @param code the code
	 */
	public void problem(ErrorCode code) {
		this.answers.labelValues(code.code()).inc();
	}

	/**
	 * Adds a value that is read at each scrape.
	 * @param name the name of the metric
	 * @param help what it tells
	 * @param value the value
	 */
	public void gauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Adds the traffic between entry hosts, which is read at each scrape.
	 * @param traffic the traffic by type of message
	 */
	public void traffic(Supplier<Map<String, TrafficCounters.Traffic>> traffic) {
		CounterWithCallback.builder()
			.name("masticwick_peer_messages_sent_total")
			.help("Messages sent to other entry hosts, by type.")
			.labelNames("type")
			.callback((callback) -> traffic.get().forEach((type, sum) -> callback.call(sum.outCount(), type)))
			.register(this.registry);
		CounterWithCallback.builder()
			.name("masticwick_peer_sent_bytes_total")
			.help("Bytes sent to other entry hosts, by type of message.")
			.labelNames("type")
			.callback((callback) -> traffic.get().forEach((type, sum) -> callback.call(sum.outBytes(), type)))
			.register(this.registry);
	}

	/**
	 * Returns all metrics in the text format.
	 * @return the text in UTF-8
	 */
	public byte[] scrape() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

	private Counter counter(String name, String help, String label) {
		return Counter.builder().name(name).help(help).labelNames(label).register(this.registry);
	}

	private Histogram histogram(String name, String help) {
		return Histogram.builder().name(name).help(help).classicOnly().register(this.registry);
	}

}
