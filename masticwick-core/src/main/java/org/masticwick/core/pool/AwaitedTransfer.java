package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the newest report of each endpoint while an owner waits for the previous one to
 * confirm that it hands its jobs over. Until then the runs of these jobs are unknown
 * here, so that they would be stopped, and their ends discarded.
 */
final class AwaitedTransfer {

	private final Map<String, DeferredReport> reports = new LinkedHashMap<>();

	private boolean awaited;

	boolean isAwaited() {
		return this.awaited;
	}

	void await() {
		this.awaited = true;
	}

	/**
	 * Keeps a report. It replaces an earlier one of the endpoint, as each report is
	 * complete.
	 * @param endpointId the id of the endpoint
	 * @param report the report
	 * @param requestedMillis when the report was requested, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void defer(String endpointId, EndpointReport report, long requestedMillis, long nowMillis) {
		this.reports.put(endpointId, new DeferredReport(report, requestedMillis, nowMillis));
	}

	/**
	 * Returns whether a report of an endpoint is kept.
	 * @param endpointId the id of the endpoint
	 * @return whether there is one
	 */
	boolean hasReport(String endpointId) {
		return this.reports.containsKey(endpointId);
	}

	/**
	 * Ends the wait and passes on the reports, in the order in which the endpoints
	 * reported first.
	 * @param processor processes the reports
	 */
	void end(ReportProcessor processor) {
		this.awaited = false;
		Map<String, DeferredReport> deferred = new LinkedHashMap<>(this.reports);
		this.reports.clear();
		deferred.forEach((endpointId, report) -> processor.process(endpointId, report.report(),
				report.requestedMillis(), report.receivedMillis()));
	}

	/**
	 * Processes the report of an endpoint.
	 */
	@FunctionalInterface
	interface ReportProcessor {

		/**
		 * Processes the report of an endpoint.
		 * @param endpointId the id of the endpoint
		 * @param report the report
		 * @param requestedMillis when the report was requested, in milliseconds
		 * @param receivedMillis when it arrived, in milliseconds
		 */
		void process(String endpointId, EndpointReport report, long requestedMillis, long receivedMillis);

	}

	private record DeferredReport(EndpointReport report, long requestedMillis, long receivedMillis) {
	}

}
