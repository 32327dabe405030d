package org.masticwick.fleet.process;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.connection.CallerServer;

/**
 * The graceful stop of a host: hands pools over, answers pending requests, then shuts the
 * event loop down, at the latest at the end of the grace period. Must be called on the
 * event loop.
 */
final class GracefulStop {

	/** The logger name is a field of the log lines, which keep that of the host. */
	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	/**
	 * How long before the end of the grace period a stopping host abandons running jobs.
	 */
	private static final long STOP_MARGIN_MILLIS = 500;

	/**
	 * How long a stopping host still accepts jobs, until the load balancer has noticed.
	 * Later jobs are refused, as they might not finish before the process stops.
	 */
	private static final long MIN_STOP_MILLIS = 2_600;

	private final EventLoopGroup eventLoops;

	private final FleetSettings settings;

	private final CallerServer callerServer;

	private final JobRouter router;

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final PoolHandover handover;

	private boolean requested;

	private long requestedMillis;

	/**
	 * Creates an instance of a host that is not stopping.
	 * @param eventLoops the event loop to shut down at the end
	 * @param settings the settings of the host
	 * @param callerServer the server for callers
	 * @param router the callers' pending requests
	 * @param directory the owners of the pools
	 * @param ownership the pools of this host
	 * @param handover hands the pools over
	 */
	GracefulStop(EventLoopGroup eventLoops, FleetSettings settings, CallerServer callerServer, JobRouter router,
			PoolDirectory directory, PoolOwnership ownership, PoolHandover handover) {
		this.eventLoops = eventLoops;
		this.settings = settings;
		this.callerServer = callerServer;
		this.router = router;
		this.directory = directory;
		this.ownership = ownership;
		this.handover = handover;
	}

	/**
	 * Returns whether the host is stopping.
	 * @return whether a stop was requested
	 */
	boolean isRequested() {
		return this.requested;
	}

	/**
	 * Returns whether the host refuses new jobs, as they might not finish.
	 * @return whether it refuses them
	 */
	boolean isRefusingJobs() {
		return this.requested && Clock.nowMillis() - this.requestedMillis >= MIN_STOP_MILLIS;
	}

	/**
	 * Begins to stop, unless the host is stopping already.
	 * @param report reports the state of the host to its peers, before the first handover
	 */
	void begin(Runnable report) {
		if (this.requested) {
			return;
		}
		this.requested = true;
		this.requestedMillis = Clock.nowMillis();
		logger.atInfo()
			.addKeyValue("host", this.settings.hostName())
			.addKeyValue("open_requests", this.router.pendingCount())
			.log("Entry host is stopping; pools are handed over and pending requests answered");
		this.callerServer.drain();
		this.ownership.stopClaiming();
		this.handover.beginStop();
		report.run();
		this.handover.tick();
	}

	/**
	 * Ends the host if it is stopping and has nothing left to do or no time left.
	 * @param nowMillis the time in milliseconds
	 */
	void tick(long nowMillis) {
		if (!this.requested) {
			return;
		}
		long stoppingMillis = nowMillis - this.requestedMillis;
		boolean deadlineReached = stoppingMillis > this.settings.stopGraceMillis() - STOP_MARGIN_MILLIS;
		if (deadlineReached || stoppingMillis >= MIN_STOP_MILLIS
				&& this.directory.localOwner().filter((localOwner) -> localOwner.jobCount() > 0).isEmpty()) {
			this.ownership.releaseAllPools();
		}
		boolean idle = this.router.pendingCount() == 0 && this.directory.localOwner().isEmpty();
		if (stoppingMillis >= MIN_STOP_MILLIS && idle || deadlineReached) {
			end(stoppingMillis);
		}
	}

	private void end(long stoppingMillis) {
		logger.atInfo()
			.addKeyValue("host", this.settings.hostName())
			.addKeyValue("open_requests", this.router.pendingCount())
			.addKeyValue("after_ms", stoppingMillis)
			.log("Entry host stops; requests that are still open are answered as uncertain");
		this.router.abandonAll();
		this.eventLoops.shutdownGracefully(STOP_MARGIN_MILLIS / 10, STOP_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS);
	}

}
