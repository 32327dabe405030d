package org.masticwick.fleet.process;

import java.util.HashSet;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;

/**
 * Follows the records of endpoints, the more closely the more this host depends on them.
 * Applies them, and reports endpoints without a record as unlisted.
 */
final class EndpointRecords implements TopicFollower.Listener {

	/** The logger name is a field of the log lines, which keep that of the host. */
	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	/** Endpoints write continuously, so their records are fetched in batches. */
	private static final TopicFollower.PollPolicy OWNER_PACE = TopicFollower.PollPolicy.readPeriodically(400);

	/**
	 * Hosts that own no pool need the endpoints only once they assume ownership, and then
	 * load them at once if the log answers. Each endpoint writes some twenty records in
	 * this time, of which they read only the last.
	 */
	private static final TopicFollower.PollPolicy STANDBY_PACE = TopicFollower.PollPolicy.reloadPeriodically(30_000);

	/** While a site starts, its endpoints register within a few seconds. */
	private static final TopicFollower.PollPolicy STARTING_PACE = TopicFollower.PollPolicy.reloadPeriodically(3_000);

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final TopicFollower follower;

	private int loadedCount;

	/**
	 * Creates an instance that does not follow the records yet.
	 * @param eventLoop the event loop to read on
	 * @param log the client of the log
	 * @param directory the owners of the pools
	 * @param ownership gets the records
	 */
	EndpointRecords(EventLoop eventLoop, SharedLog log, PoolDirectory directory, PoolOwnership ownership) {
		this.directory = directory;
		this.ownership = ownership;
		this.follower = new TopicFollower(eventLoop, log, SharedTopic.ENDPOINTS, STARTING_PACE, this);
	}

	void start() {
		this.follower.start();
	}

	/**
	 * Adapts how closely the records are followed.
	 * @param ownsPools whether this host owns pools now
	 */
	void ownershipChanged(boolean ownsPools) {
		this.follower.setPollPolicy(ownsPools ? OWNER_PACE : STANDBY_PACE);
	}

	@Override
	public void onRecord(KeyedRecord endpoint) {
		this.ownership.applyEndpointRecord(endpoint);
	}

	@Override
	public void onLoaded(Set<String> keys) {
		logger.atInfo().addKeyValue("endpoints", keys.size()).log("Endpoints loaded from the log");
		Set<String> unlistedIds = new HashSet<>(this.ownership.endpointIds());
		unlistedIds.removeAll(keys);
		unlistedIds.forEach(this.ownership::endpointUnlisted);
		if (this.directory.localOwner().isEmpty()) {
			boolean settled = !keys.isEmpty() && keys.size() == this.loadedCount;
			this.follower.setPollPolicy(settled ? STANDBY_PACE : STARTING_PACE);
		}
		this.loadedCount = keys.size();
		this.directory.localOwner().ifPresent(PoolOwner::endpointsLoaded);
	}

}
