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
 * Counts what an entry host does, for Prometheus.
 */
public final class Metrics {

	/** The media type of {@link #scrape()}. */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	/** How many services have labels of their own; the others share one. */
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
			"Messages that moved no task nearer to its answer, by kind.", "kind");

	private final Counter answerCounter = registerCounter("masticwick_answers_total",
			"Final answers to callers, by code.", "code");

	private final Counter startCounter = registerCounter("masticwick_task_starts_total",
			"Tasks posted to endpoints, by service.", SERVICE_LABEL);

	private final Counter refusalCounter = registerCounter("masticwick_refusals_total",
			"Requests of callers refused before they reached a job, by code.", "code");

	private final Histogram responseSecondsHistogram = registerHistogram("masticwick_response_seconds",
			"Time from a submission to its complete answer, by service and urgency.", SERVICE_LABEL, "urgent");

	private final Histogram queueWaitSecondsHistogram = registerHistogram("masticwick_queue_wait_seconds",
			"Time from the submission of a task to its start, by service.", SERVICE_LABEL);

	private final Set<String> labeledServices = ConcurrentHashMap.newKeySet();

	/**
	 * Creates metrics in which every kind of message and every code stands at zero.
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
	 * Counts a message that was wasted.
	 * @param kind the kind of waste
	 */
	public void countWastedMessage(WasteKind kind) {
		this.wastedMessageCounter.labelValues(kind.label()).inc();
	}

	/**
	 * Counts a task that was posted.
	 * @param service the service
	 * @param waitNanos how long the task had waited, in nanoseconds
	 */
	public void recordStart(String service, long waitNanos) {
		countMessage(MessageKind.START);
		String label = serviceLabelValue(service);
		this.startCounter.labelValues(label).inc();
		this.queueWaitSecondsHistogram.labelValues(label).observe(waitNanos / NANOS_PER_SECOND);
	}

	/**
	 * Counts a complete answer.
	 * @param service the service
	 * @param urgent whether the job was urgent
	 * @param responseNanos the time from the submission, in nanoseconds
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
	 * @param code the code
	 */
	public void countRefusal(ErrorCode code) {
		this.refusalCounter.labelValues(code.code()).inc();
	}

	/**
	 * Counts a job that ended with an error.
	 * @param code the code
	 */
	public void countFailedJob(ErrorCode code) {
		this.answerCounter.labelValues(code.code()).inc();
	}

	/**
	 * Adds a value that is read at each scrape.
	 * @param name the name of the metric
	 * @param help what it tells
	 * @param value the value
	 */
	public void addGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Adds values that are read at each scrape.
	 * @param name the name of the metric
	 * @param help what it tells
	 * @param label the name of the label
	 * @param values the values by label
	 */
	public void addLabeledGauges(String name, String help, String label, Supplier<Map<String, Double>> values) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.labelNames(label)
			.callback((callback) -> values.get().forEach((key, value) -> callback.call(value, key)))
			.register(this.registry);
	}

	/**
	 * Adds a count that is read at each scrape.
	 * @param name the name of the metric
	 * @param help what it tells
	 * @param value the count
	 */
	public void addCounter(String name, String help, LongSupplier value) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsLong()))
			.register(this.registry);
	}

	/**
	 * Adds counts that are read at each scrape.
	 * @param name the name of the metric
	 * @param help what it tells
	 * @param label the name of the label
	 * @param values the counts by label
	 */
	public void addLabeledCounters(String name, String help, String label, Supplier<Map<String, Long>> values) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.labelNames(label)
			.callback((callback) -> values.get().forEach((key, value) -> callback.call(value, key)))
			.register(this.registry);
	}

	/**
	 * Adds the traffic between entry hosts, which is read at each scrape.
	 * @param traffic the traffic by type of message
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
		addLabeledCounters(name, help, "type",
				() -> traffic.get()
					.entrySet()
					.stream()
					.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> counter.applyAsLong(entry.getValue()))));
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
