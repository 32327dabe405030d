package org.masticwick.daemon.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.connection.LoadBudget;
import org.masticwick.core.connection.MembershipLimits;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.daemon.connection.EndpointLimits;
import org.masticwick.daemon.connection.HeartbeatSettings;
import org.masticwick.daemon.process.settings.DispatchSettings;
import org.masticwick.daemon.process.settings.PeerSettings;
import org.masticwick.daemon.process.settings.PlatformSettings;
import org.masticwick.daemon.process.settings.RequestSettings;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.request.RequestLimits;
import org.masticwick.daemon.version.FollowerSettings;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Derives the settings of each component from the settings of the process.
 */
final class ComponentSettings {

	private static final int RETRY_BURST_TOKEN_COUNT = 20;

	/** A peer is suspect after this many heartbeat intervals without a heartbeat. */
	private static final int SUSPECT_HEARTBEAT_COUNT = 3;

	/**
	 * A peer whose status comes from summaries is suspect after the silence limit times
	 * this factor, and lost after twice that time.
	 */
	private static final int SUMMARY_SUSPECT_FACTOR = 4;

	private static final long DEPARTED_AFTER_MILLIS = TimeUnit.MINUTES.toMillis(1);

	private static final int MAX_PEER_COUNT = 1_024;

	/** The timeout of status lookups and cancellations at endpoints. */
	private static final long ENDPOINT_CALL_TIMEOUT_MILLIS = 2_000;

	private ComponentSettings() {
	}

	static PeerTransportSettings transport(Settings settings) {
		InetSocketAddress address = settings.host().peerAddress();
		return PeerTransportSettings.of(address.getHostString(), address.getPort())
			.withIdleTimeoutMillis(settings.peers().callSilenceLimitMillis());
	}

	static EndpointLimits endpoints(Settings settings) {
		return new EndpointLimits(settings.dispatch().connectTimeoutMillis(), ENDPOINT_CALL_TIMEOUT_MILLIS,
				settings.requests().resultBytesMax());
	}

	static FollowerSettings follower(PlatformSettings platform) {
		return FollowerSettings.DEFAULT.withPollWait(Duration.ofMillis(platform.pollWaitMillis()))
			.withSnapshotRecordCount(platform.snapshotIntervalRecordCount());
	}

	static MembershipLimits membership(Settings settings) {
		PeerSettings peers = settings.peers();
		long suspectMillis = SUSPECT_HEARTBEAT_COUNT * peers.heartbeatIntervalMillis();
		long summarySuspectMillis = SUMMARY_SUSPECT_FACTOR * peers.silenceLimitMillis();
		return new MembershipLimits(Math.min(suspectMillis, peers.silenceLimitMillis()), peers.silenceLimitMillis(),
				summarySuspectMillis, 2 * summarySuspectMillis, DEPARTED_AFTER_MILLIS,
				2 * settings.tickets().lifetimeMillis(), MAX_PEER_COUNT);
	}

	static SchedulerSettings scheduler(DispatchSettings dispatch) {
		return SchedulerSettings.builder()
			.queueLimitCount(dispatch.queueTaskCountMax())
			.maxWait(Duration.ofMillis(dispatch.queueWaitMaxMillis()))
			.retryBudget(dispatch.retryBudgetFraction(), RETRY_BURST_TOKEN_COUNT)
			.build();
	}

	static RequestLimits requests(RequestSettings requests) {
		return new RequestLimits(requests.bodyBytesMax(), requests.payloadBytesMax(), requests.jobTaskCountMax(),
				requests.deadlineDefaultMillis(), requests.deadlineMaxMillis(), requests.waitMaxMillis());
	}

	static HeartbeatSettings heartbeats(PeerSettings peers) {
		HeartbeatSettings defaults = HeartbeatSettings.of(peers.seeds());
		return new HeartbeatSettings(peers.heartbeatIntervalMillis(), defaults.summaryIntervalMillis(),
				defaults.relayIntervalMillis(), defaults.fullLoadIntervalMillis(), defaults.linkCount(),
				LoadBudget.defaults(), peers.seeds());
	}

}
