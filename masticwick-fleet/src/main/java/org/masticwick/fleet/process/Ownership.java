package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.SiteFormat;

/**
 * Claims the pool of the own failure domain when nobody owns it, owns it as long as
 * nobody else has claimed it since, and lets go of it before the process stops.
 */
final class Ownership {

	private static final Logger logger = LoggerFactory.getLogger(Ownership.class);

	/** What the keys of claims begin with. */
	static final String CLAIM_PREFIX = "owner/";

	/** How long a claim whose answer is lost may still show up in the log. */
	private static final long CLAIM_RETRY_MILLIS = 400;

	private final EventLoop eventLoop;

	private final MemberRecord self;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final SharedLog log;

	private final EndpointCalls calls;

	private final SiteFormat format;

	private final FleetMetrics metrics;

	private final ClaimRule rule;

	private final Map<String, EndpointEntry> endpoints = new HashMap<>();

	private final PoolOwner.Listener answerListener;

	private Consumer<Boolean> ownershipListener = (owns) -> {
	};

	private long claimSentMillis = Long.MIN_VALUE / 2;

	private boolean leaving;

	Ownership(EventLoop eventLoop, MemberRecord self, PeerTable peers, PoolDirectory directory, SharedLog log,
			EndpointCalls calls, SiteFormat format, FleetMetrics metrics, PoolOwner.Listener answerListener) {
		this.eventLoop = eventLoop;
		this.self = self;
		this.peers = peers;
		this.directory = directory;
		this.log = log;
		this.calls = calls;
		this.format = format;
		this.metrics = metrics;
		this.rule = new ClaimRule(self);
		this.answerListener = answerListener;
	}

	void onChange(Consumer<Boolean> listener) {
		this.ownershipListener = listener;
	}

	void tick(TopicFollower members) {
		long nowMillis = Clock.nowMillis();
		if (!this.leaving && members.nextOffset() >= 0 && this.directory.own().isEmpty()
				&& nowMillis - this.claimSentMillis > CLAIM_RETRY_MILLIS
				&& this.rule.shouldClaim(situation(nowMillis))) {
			claim(members.nextOffset(), nowMillis);
		}
		this.directory.own().ifPresent(PoolOwner::tick);
	}

	private ClaimRule.Situation situation(long nowMillis) {
		String pool = this.self.domain();
		PoolClaim claim = this.directory.claim(pool).orElse(null);
		boolean heard = this.directory.ownerAddress(pool)
			.filter((address) -> this.peers.isHeard(address, nowMillis))
			.isPresent();
		return new ClaimRule.Situation(claim, heard, this.peers.someoneHearsOwner(pool, nowMillis),
				this.peers.isSettled(nowMillis), this.peers.heardIn(this.self.domain(), nowMillis));
	}

	private void claim(long expectedEnd, long nowMillis) {
		this.claimSentMillis = nowMillis;
		String pool = this.self.domain();
		logger.atInfo()
			.addKeyValue("pool", pool)
			.addKeyValue("expected_end", expectedEnd)
			.addKeyValue("claim_before", this.directory.claim(pool).orElse(null))
			.log("Claiming a pool");
		this.metrics.claimWritten();
		this.log.append(SharedTopic.MEMBERS, CLAIM_PREFIX + pool, this.self.toBytes(), OptionalLong.of(expectedEnd))
			.whenComplete((offset, error) -> {
				if (error == null) {
					claimed(new PoolClaim(pool, this.self, PoolClaim.tokenAt(offset)));
				}
				else {
					logger.atInfo()
						.addKeyValue("pool", pool)
						.addKeyValue("reason", error.getMessage())
						.log("Claim without success");
				}
			});
	}

	/**
	 * Takes a record of the members' topic that is a claim.
	 * @param claimRecord the record
	 */
	void claimRead(KeyedRecord claimRecord) {
		String pool = claimRecord.key().substring(CLAIM_PREFIX.length());
		try {
			MemberRecord owner = (claimRecord.value() != null) ? MemberRecord.read(claimRecord.value()) : null;
			claimed(new PoolClaim(pool, owner, PoolClaim.tokenAt(claimRecord.offset())));
		}
		catch (InvalidRecordException ex) {
			logger.atWarn()
				.addKeyValue("key", claimRecord.key())
				.addKeyValue("reason", ex.getMessage())
				.log("Claim passed over");
		}
	}

	private void claimed(PoolClaim claim) {
		if (!this.directory.claimed(claim)) {
			return;
		}
		logger.atInfo()
			.addKeyValue("pool", claim.pool())
			.addKeyValue("owner", (claim.owner() != null) ? claim.owner().hostName() : "none")
			.addKeyValue("fencing_token", claim.fencingToken())
			.log("Pool claimed");
		this.directory.ownOf(claim.pool()).ifPresent((owner) -> stepDown(owner, "newer-claim"));
		if (this.self.equals(claim.owner()) && !this.leaving && claim.pool().equals(this.self.domain())) {
			takeOver(claim);
		}
	}

	private void takeOver(PoolClaim claim) {
		PoolOwner owner = new PoolOwner(this.eventLoop, this.calls, claim, this.metrics, this.answerListener);
		this.directory.own(owner);
		this.endpoints.values().forEach(owner::endpointListed);
		this.ownershipListener.accept(true);
	}

	/**
	 * Lets go of a pool that another host orders.
	 * @param owner the owner that ends
	 * @param reason why, for the log
	 */
	void stepDown(PoolOwner owner, String reason) {
		if (this.directory.own().filter((current) -> current == owner).isEmpty()) {
			return;
		}
		logger.atInfo()
			.addKeyValue("pool", owner.claim().pool())
			.addKeyValue("fencing_token", owner.claim().fencingToken())
			.addKeyValue("reason", reason)
			.log("No longer the owner");
		this.directory.own(null);
		owner.close();
		this.ownershipListener.accept(false);
	}

	/**
	 * Claims nothing any more, and lets go of the own pool once its jobs are answered.
	 */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Lets go of the own pool, and says so in the log.
	 */
	void release() {
		this.directory.own().ifPresent((owner) -> {
			stepDown(owner, "stop");
			this.log.append(SharedTopic.MEMBERS, CLAIM_PREFIX + owner.claim().pool(), null, OptionalLong.empty());
		});
	}

	/**
	 * Takes a record of the endpoints' topic.
	 * @param endpointRecord the record
	 */
	void endpointRead(KeyedRecord endpointRecord) {
		String id = endpointRecord.key();
		if (endpointRecord.value() == null) {
			endpointGone(id);
			return;
		}
		try {
			EndpointEntry entry = this.format.readEndpoint(id, endpointRecord.value());
			endpointSeen(entry);
		}
		catch (InvalidRecordException ex) {
			if (this.endpoints.containsKey(id)) {
				logger.atWarn()
					.addKeyValue("endpoint", id)
					.addKeyValue("reason", ex.getMessage())
					.log("Entry of an endpoint passed over");
			}
		}
	}

	private void endpointSeen(EndpointEntry entry) {
		if (!entry.domain().equals(this.self.domain())) {
			return;
		}
		EndpointEntry before = this.endpoints.put(entry.id(), entry);
		if (before == null || before.ready() != entry.ready() || before.bornEpochMillis() != entry.bornEpochMillis()) {
			logger.atInfo()
				.addKeyValue("endpoint", entry.id())
				.addKeyValue("ready", entry.ready())
				.addKeyValue("born", entry.bornEpochMillis())
				.log("Endpoint listed");
		}
		this.directory.own().ifPresent((owner) -> owner.endpointListed(entry));
	}

	/**
	 * Takes note that an endpoint is not listed any more.
	 * @param id the endpoint
	 */
	void endpointGone(String id) {
		if (this.endpoints.remove(id) != null) {
			logger.atInfo().addKeyValue("endpoint", id).log("Endpoint no longer listed");
			this.directory.own().ifPresent((owner) -> owner.endpointUnlisted(id));
		}
	}

	/**
	 * Returns the endpoints of the own failure domain that are listed.
	 * @return their names
	 */
	Set<String> endpointIds() {
		return Set.copyOf(this.endpoints.keySet());
	}

	/**
	 * Answers the jobs of a caller's host that can't be reached any more.
	 * @param hostName the host
	 */
	void originLost(String hostName) {
		this.directory.own().ifPresent((owner) -> owner.originLost(hostName));
	}

	static JobOutcome notOwner() {
		return JobOutcome.of(JobOutcome.Kind.REFUSED, "not-the-owner");
	}

}
