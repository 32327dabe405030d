package org.masticwick.daemon.process.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.wire.TrafficCounters;

/**
 * The metrics of an entry host, exposed to Prometheus.
 */
public final class Metrics {

	/** The media type of the text returned by {@link #scrape()}. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	/**
	 * The maximum number of services with a label value of their own; further services
	 * share the value {@code other}, which limits the number of time series.
	 */
	public static final int MAX_LABELED_SERVICE_COUNT = 100;

	private static final String SERVICE_LABEL = "service";

	private static final String OTHER_SERVICES_VALUE = "other";

	private static final String COMPLETE_CODE = "complete";

	private static final double[] UPPER_BOUNDS_SECONDS = { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
			20, 60 };

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter messageCounter = registerCounter("masticwick_messages_total", "Messages sent, by kind.",
			"kind");

	private final Counter wastedMessageCounter = registerCounter("masticwick_messages_wasted_total",
			"Messages that contributed nothing to the answer of a job, by kind.", "kind");

	private final Counter answerCounter = registerCounter("masticwick_answers_total",
			"Final answers to callers, by code.", "code");

	private final Counter startCounter = registerCounter("masticwick_task_starts_total",
			"Task starts sent to endpoints, by service.", SERVICE_LABEL);

	private final Counter refusalCounter = registerCounter("masticwick_refusals_total",
			"Requests of callers refused before they reached a job, by code.", "code");

	private final Histogram responseSecondsHistogram = registerHistogram("masticwick_response_seconds",
			"Time from the submission of a job to its complete answer, by service and urgency.", SERVICE_LABEL,
			"urgent");

	private final Histogram queueWaitSecondsHistogram = registerHistogram("masticwick_queue_wait_seconds",
			"Time from the submission of a task to its start, by service.", SERVICE_LABEL);

	private final Set<String> labeledServices = ConcurrentHashMap.newKeySet();

	/**
	 * Creates metrics in which the counters of all message kinds and error codes exist
	 * and are zero, so that rates can be computed from the first increment on.
	 */
	public Metrics() {
		ProcessMetrics.builder().register(this.registry);
		this.answerCounter.initLabelValues(COMPLETE_CODE);
		Arrays.stream(ErrorCode.values()).forEach((code) -> {
			this.answerCounter.initLabelValues(code.code());
			this.refusalCounter.initLabelValues(code.code());
		});
		Arrays.stream(MessageKind.values()).forEach((kind) -> this.messageCounter.initLabelValues(kind.label()));
		Arrays.stream(WasteKind.values()).forEach((kind) -> this.wastedMessageCounter.initLabelValues(kind.label()));
	}

	/**
	 * Counts a message that was sent.
	 * @param kind the kind of message
	 */
	public void countMessage(MessageKind kind) {
		this.messageCounter.labelValues(kind.label()).inc();
	}

	/**
	 * Counts a message that contributed nothing to the answer of a job.
	 * @param kind the kind of wasted message
	 */
	public void countWastedMessage(WasteKind kind) {
		this.wastedMessageCounter.labelValues(kind.label()).inc();
	}

	/**
	 * Records that the start of a task was sent to an endpoint, which also counts as a
	 * message.
	 * @param service the name of the service
	 * @param waitNanos the time from the submission of the task to its start, in
	 * nanoseconds
	 */
	public void recordStart(String service, long waitNanos) {
		countMessage(MessageKind.START);
		String label = serviceLabelValue(service);
		this.startCounter.labelValues(label).inc();
		this.queueWaitSecondsHistogram.labelValues(label).observe(waitNanos / NANOS_PER_SECOND);
	}

	/**
	 * Records a job that was answered with the results of all its tasks.
	 * @param service the name of the service
	 * @param urgent whether the job was urgent
	 * @param responseNanos the time from the submission to the answer, in nanoseconds
	 */
	public void recordCompletedJob(String service, boolean urgent, long responseNanos) {
		this.answerCounter.labelValues(COMPLETE_CODE).inc();
		this.responseSecondsHistogram.labelValues(serviceLabelValue(service), Boolean.toString(urgent))
			.observe(responseNanos / NANOS_PER_SECOND);
	}

	private String serviceLabelValue(String service) {
		if (this.labeledServices.contains(service)) {
			return service;
		}
		return (this.labeledServices.size() < MAX_LABELED_SERVICE_COUNT && this.labeledServices.add(service)) ? service
				: OTHER_SERVICES_VALUE;
	}

	/**
	 * Counts a request that was refused before it reached a job.
	 * @param code the error code of the refusal
	 */
	public void countRefusal(ErrorCode code) {
		this.refusalCounter.labelValues(code.code()).inc();
	}

	/**
	 * Counts a job that was answered with an error.
	 * @param code the error code of the answer
	 */
	public void countFailedJob(ErrorCode code) {
		this.answerCounter.labelValues(code.code()).inc();
	}

	/**
	 * Adds a gauge whose value is read at each scrape.
	 * @param name the name of the metric
	 * @param help the help text of the metric
	 * @param value supplies the value
	 */
	public void addGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Adds a gauge with one label, whose values are read at each scrape.
	 * @param name the name of the metric
	 * @param help the help text of the metric
	 * @param label the name of the label
	 * @param values supplies the values by label value
	 */
	public void addGauge(String name, String help, String label, Supplier<Map<String, Double>> values) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.labelNames(label)
			.callback((callback) -> values.get().forEach((key, value) -> callback.call(value, key)))
			.register(this.registry);
	}

	/**
	 * Adds a counter whose value is read at each scrape.
	 * @param name the name of the metric
	 * @param help the help text of the metric
	 * @param value supplies the count
	 */
	public void addCounter(String name, String help, LongSupplier value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(this.registry);
	}

	/**
	 * Adds a counter with one label, whose values are read at each scrape.
	 * @param name the name of the metric
	 * @param help the help text of the metric
	 * @param label the name of the label
	 * @param values supplies the counts by label value
	 */
	public void addCounter(String name, String help, String label, Supplier<Map<String, Long>> values) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.labelNames(label)
			.callback((callback) -> values.get().forEach((key, value) -> callback.call(value, key)))
			.register(this.registry);
	}

	/**
	 * Adds counters of the messages and bytes exchanged with other entry hosts, which are
	 * read at each scrape.
	 * @param traffic supplies the traffic by the name of the message type
	 */
	public void addPeerTraffic(Supplier<Map<String, TrafficCounters.Traffic>> traffic) {
		addPeerTrafficCounter("masticwick_peer_messages_sent_total", "Messages sent to other entry hosts, by type.",
				traffic, TrafficCounters.Traffic::outCount);
		addPeerTrafficCounter("masticwick_peer_messages_received_total",
				"Messages received from other entry hosts, by type.", traffic, TrafficCounters.Traffic::inCount);
		addPeerTrafficCounter("masticwick_peer_sent_bytes_total",
				"Bytes sent to other entry hosts, by type of message.", traffic, TrafficCounters.Traffic::outBytes);
		addPeerTrafficCounter("masticwick_peer_received_bytes_total",
				"Bytes received from other entry hosts, by type of message.", traffic,
				TrafficCounters.Traffic::inBytes);
	}

	private void addPeerTrafficCounter(String name, String help, Supplier<Map<String, TrafficCounters.Traffic>> traffic,
			ToLongFunction<TrafficCounters.Traffic> counter) {
		addCounter(name, help, "type",
				() -> traffic.get()
					.entrySet()
					.stream()
					.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> counter.applyAsLong(entry.getValue()))));
	}

	/**
	 * Returns the current values of all metrics in the Prometheus text format.
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

	private Counter registerCounter(String name, String help, String label) {
		return Counter.builder().name(name).help(help).labelNames(label).register(this.registry);
	}

	private Histogram registerHistogram(String name, String help, String... labels) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.labelNames(labels)
			.classicOnly()
			.classicUpperBounds(UPPER_BOUNDS_SECONDS)
			.register(this.registry);
	}

}
