package org.masticwick.fleet.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.LossCause;
import org.masticwick.core.pool.RestartVerdict;
import org.masticwick.core.pool.StartRefusal;

/**
 * Counters, gauges and latency histograms of an entry host.
 */
public final class FleetMetrics {

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * The least urgent priority with a label of its own, so that the number of labels is
	 * bounded.
	 */
	private static final int MAX_SINGLE_PRIORITY = 3;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter answers = Counter.builder()
		.name("masticwick_job_answers_total")
		.help("Final answers to callers, by outcome")
		.labelNames("outcome")
		.register(this.registry);

	private final Histogram latency = Histogram.builder()
		.name("masticwick_job_seconds")
		.help("Time from a submission to its answer, by outcome")
		.labelNames("outcome")
		.classicOnly()
		.classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
		.register(this.registry);

	private final Histogram registrations = Histogram.builder()
		.name("masticwick_job_registration_seconds")
		.help("Time that the owner of a pool took to register a job before its start, by who decided")
		.labelNames("decided_by")
		.classicOnly()
		.classicUpperBounds(0.001, 0.002, 0.004, 0.01, 0.05, 0.2, 1)
		.register(this.registry);

	private final Counter starts = counter("masticwick_starts_ordered_total", "Starts ordered from endpoints");

	private final Counter refusals = Counter.builder()
		.name("masticwick_starts_refused_total")
		.help("Starts that endpoints refused, by reason")
		.labelNames("reason")
		.register(this.registry);

	private final Counter refusedJobs = Counter.builder()
		.name("masticwick_jobs_refused_total")
		.help("Jobs that the owner of a pool refused, by reason and by priority of their queue")
		.labelNames("reason", "priority")
		.register(this.registry);

	private final Counter stops = counter("masticwick_stops_ordered_total", "Stops ordered from endpoints");

	private final Counter renewals = counter("masticwick_lease_renewals_total", "Renewals of leases of endpoints");

	private final Counter failedRenewals = counter("masticwick_lease_renewals_failed_total",
			"Renewals of leases without an answer");

	private final Counter claims = counter("masticwick_pool_claims_total", "Claims on pools written to the log");

	private final Counter lostRuns = Counter.builder()
		.name("masticwick_runs_lost_total")
		.help("Runs lost together with their endpoint, by cause")
		.labelNames("cause")
		.register(this.registry);

	private final Counter endpointRestarts = counter("masticwick_endpoint_restarts_total",
			"Restarts of endpoints seen by the owner of their pool");

	private final Counter restartVerdicts = Counter.builder()
		.name("masticwick_restart_verdicts_total")
		.help("Decisions on the restart of tasks under which endpoints were lost, by verdict")
		.labelNames("verdict")
		.register(this.registry);

	private final Gauge drainedDomains = Gauge.builder()
		.name("masticwick_drained_domains")
		.help("Failure domains in which this host starts no new tasks")
		.register(this.registry);

	private Counter counter(String name, String help) {
		return Counter.builder().name(name).help(help).register(this.registry);
	}

	void jobAnswered(JobOutcome.Kind kind, long responseMillis) {
		this.answers.labelValues(kind.name()).inc();
		this.latency.labelValues(kind.name()).observe(responseMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Counts a job that a pool refused.
	 * @param outcome the refusal
	 * @param priority the priority of the job's queue
	 */
	void jobRefused(JobOutcome outcome, int priority) {
		String priorityClass = (priority > MAX_SINGLE_PRIORITY) ? "low" : Integer.toString(Math.max(0, priority));
		this.refusedJobs.labelValues(outcome.reasonCode(), priorityClass).inc();
	}

	/**
	 * Records the end of a registration of a job.
	 * @param decidedBy who decided, or what became of the job
	 * @param waitedMillis how long the job has waited, in milliseconds
	 */
	void jobRegistered(String decidedBy, long waitedMillis) {
		this.registrations.labelValues(decidedBy).observe(waitedMillis / MILLIS_PER_SECOND);
	}

	void startOrdered() {
		this.starts.inc();
	}

	void startRefused(StartRefusal refusal) {
		this.refusals.labelValues(refusal.name()).inc();
	}

	void stopOrdered() {
		this.stops.inc();
	}

	void leaseRenewed() {
		this.renewals.inc();
	}

	void renewalFailed() {
		this.failedRenewals.inc();
	}

	void claimAttempted() {
		this.claims.inc();
	}

	void runLost(LossCause cause) {
		this.lostRuns.labelValues(cause.name()).inc();
	}

	void endpointRestarted() {
		this.endpointRestarts.inc();
	}

	void restartDecided(RestartVerdict verdict) {
		this.restartVerdicts.labelValues(verdict.name()).inc();
	}

	void drainedDomains(int count) {
		this.drainedDomains.set(count);
	}

	byte[] toText() {
		try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
			new PrometheusTextFormatWriter(false).write(out, this.registry.scrape());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
