package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.SiteFormat;

/**
 * Claims pools that nobody owns, owns them as long as nobody else has claimed them since,
 * and lets go of them before the process stops.
 */
final class PoolOwnership {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwnership.class);

	/** What the keys of claims begin with. */
	static final String CLAIM_PREFIX = "owner/";

	/** How long a claim whose answer is lost may still show up in the log. */
	private static final long CLAIM_RETRY_MILLIS = 400;

	/** How long the records that a claim did not expect may take to be read. */
	private static final long CONFLICT_RETRY_MILLIS = 40;

	/** Up to how many endpoints one host can own; a third of a small host's processor. */
	private static final int MAX_MERGED_ENDPOINTS = 100;

	/**
	 * An entry that lapsed while the log was away is back two seconds after its return.
	 */
	private static final long MISSING_MILLIS = 2_500;

	private final EventLoop eventLoop;

	private final MemberRecord self;

	private final Set<String> domains;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final SharedLog log;

	private final JobLog jobLog;

	private final EndpointCalls calls;

	private final SiteFormat format;

	private final FleetMetrics metrics;

	private final ClaimRule rule;

	private final Map<String, EndpointEntry> endpoints = new HashMap<>();

	private final Map<String, Long> missingSinceMillis = new HashMap<>();

	private final Map<String, Long> orphanedSinceMillis = new HashMap<>();

	private final PoolOwner.Listener ownerListener;

	private final TopicFollower members;

	private Consumer<Boolean> ownershipListener = (owns) -> {
	};

	private long nextClaimMillis = Long.MIN_VALUE / 2;

	private long knownEnd;

	private boolean leaving;

	PoolOwnership(EventLoop eventLoop, MemberRecord self, Collection<String> domains, PeerTable peers,
			PoolDirectory directory, SharedLog log, JobLog jobLog, EndpointCalls calls, SiteFormat format,
			FleetMetrics metrics, PoolOwner.Listener ownerListener, TopicFollower members) {
		this.eventLoop = eventLoop;
		this.self = self;
		this.domains = new TreeSet<>(domains);
		this.domains.add(self.domain());
		this.peers = peers;
		this.directory = directory;
		this.log = log;
		this.jobLog = jobLog;
		this.calls = calls;
		this.format = format;
		this.metrics = metrics;
		this.rule = new ClaimRule(self);
		this.ownerListener = ownerListener;
		this.members = members;
	}

	void onChange(Consumer<Boolean> listener) {
		this.ownershipListener = listener;
	}

	/**
	 * Returns whether one host should own all pools.
	 * @return whether the site is small enough
	 */
	boolean isMerged() {
		return this.endpoints.size() <= MAX_MERGED_ENDPOINTS;
	}

	void tick() {
		long nowMillis = Clock.nowMillis();
		dropMissing(nowMillis);
		this.domains.forEach((pool) -> watchOwner(pool, nowMillis));
		if (!this.leaving) {
			claimOrphans(nowMillis);
			stepIn(nowMillis);
		}
		this.directory.own().ifPresent(PoolOwner::tick);
	}

	private void claimOrphans(long nowMillis) {
		if (this.members.nextOffset() < 0 || nowMillis < this.nextClaimMillis) {
			return;
		}
		List<String> orphans = this.domains.stream()
			.filter((pool) -> this.directory.ownOf(pool).isEmpty())
			.filter((pool) -> this.rule.shouldClaim(situation(pool, nowMillis)))
			.toList();
		if (!orphans.isEmpty()) {
			claim(orphans, nowMillis);
		}
	}

	// In a failure domain that is cut off, the shared log may be out of reach too.
	private void stepIn(long nowMillis) {
		String pool = this.self.domain();
		Optional<PoolClaim> claim = this.directory.claim(pool)
			.filter((known) -> known.turnOf(this.self.hostName()) >= 0)
			.filter((known) -> this.directory.ownOf(pool).isEmpty())
			.filter((known) -> this.rule.shouldStepIn(situation(pool, nowMillis)));
		claim.ifPresent((known) -> claimed(known.of(this.self)));
	}

	private void watchOwner(String pool, long nowMillis) {
		if (this.directory.hearsOwner(pool, nowMillis)) {
			this.orphanedSinceMillis.remove(pool);
		}
		else {
			this.orphanedSinceMillis.putIfAbsent(pool, nowMillis);
		}
	}

	private ClaimRule.Situation situation(String pool, long nowMillis) {
		List<MemberRecord> living = this.peers.heard(nowMillis);
		List<String> owners = living.stream()
			.filter((member) -> this.directory.poolCount(member.peerAddress()) > 0)
			.map(MemberRecord::hostName)
			.toList();
		long orphanedMillis = nowMillis - this.orphanedSinceMillis.getOrDefault(pool, nowMillis);
		return new ClaimRule.Situation(pool, this.directory.claim(pool).orElse(null),
				this.directory.claimAgeMillis(pool, nowMillis), this.directory.hearsOwner(pool, nowMillis),
				this.peers.someoneHearsOwner(pool, nowMillis), this.peers.isSettled(nowMillis), orphanedMillis,
				isMerged(), this.peers.hasMembersIn(pool), living, owners);
	}

	/**
	 * Claims pools, all or none.
	 * @param pools the pools
	 * @param nowMillis the time in milliseconds
	 * @return ends when the shared log has the claims; fails if it has not, or may have
	 */
	CompletableFuture<Void> claim(List<String> pools, long nowMillis) {
		this.nextClaimMillis = nowMillis + CLAIM_RETRY_MILLIS;
		long expectedEnd = Math.max(this.members.nextOffset(), this.knownEnd);
		List<ClaimRecord> claims = pools.stream().map(this::claimRecord).toList();
		List<NewRecord> records = IntStream.range(0, pools.size())
			.mapToObj((index) -> new NewRecord(CLAIM_PREFIX + pools.get(index), claims.get(index).toBytes()))
			.toList();
		logger.atInfo()
			.addKeyValue("pools", pools)
			.addKeyValue("expected_end", expectedEnd)
			.addKeyValue("owners_before", pools.stream().map(this.directory::ownerAddress).toList())
			.log("Claiming pools");
		this.metrics.claimWritten();
		return this.log.append(SharedTopic.MEMBERS, records, OptionalLong.of(expectedEnd))
			.whenComplete((offset, error) -> claimAnswered(pools, claims, offset, error))
			.thenApply((offset) -> null);
	}

	private ClaimRecord claimRecord(String pool) {
		List<String> deputies = Stream.concat(Stream.of(this.self), this.peers.members().stream())
			.filter((member) -> member.domain().equals(pool))
			.sorted(MemberRecord.STRONGEST_FIRST)
			.map(MemberRecord::hostName)
			.distinct()
			.limit(PoolClaim.MAX_DEPUTIES)
			.toList();
		return new ClaimRecord(this.self, deputies);
	}

	private void claimAnswered(List<String> pools, List<ClaimRecord> claims, Long offset, Throwable error) {
		if (error != null) {
			logger.atInfo()
				.addKeyValue("pools", pools)
				.addKeyValue("reason", error.getMessage())
				.log("Claim without success");
			if (isConflict(error)) {
				this.nextClaimMillis = Clock.nowMillis() + CONFLICT_RETRY_MILLIS;
			}
			return;
		}
		this.nextClaimMillis = Long.MIN_VALUE / 2;
		this.knownEnd = Math.max(this.knownEnd, offset + pools.size());
		IntStream.range(0, pools.size())
			.forEach((index) -> claimed(new PoolClaim(pools.get(index), this.self, PoolClaim.tokenAt(offset + index),
					claims.get(index).deputies())));
	}

	private static boolean isConflict(Throwable error) {
		Throwable cause = CallException.unwrapped(error);
		return cause instanceof CallException call && call.code() == CallException.Code.CONFLICT;
	}

	/**
	 * Takes a record of the members' topic that is a claim.
	 * @param claimRecord the record
	 */
	void claimRead(KeyedRecord claimRecord) {
		String pool = claimRecord.key().substring(CLAIM_PREFIX.length());
		try {
			long token = PoolClaim.tokenAt(claimRecord.offset());
			if (claimRecord.value() == null) {
				claimed(new PoolClaim(pool, null, token, List.of()));
				return;
			}
			ClaimRecord claim = ClaimRecord.read(claimRecord.value());
			claimed(new PoolClaim(pool, claim.owner(), token, claim.deputies()));
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
			.addKeyValue("token", claim.fencingToken())
			.log("Pool claimed");
		if (this.self.equals(claim.owner())) {
			takeOver(claim);
		}
		else {
			lose(claim.pool(), "newer-claim");
		}
	}

	private void takeOver(PoolClaim claim) {
		Optional<PoolOwner> present = this.directory.own();
		PoolOwner owner = present.orElseGet(() -> new PoolOwner(this.eventLoop, this.calls, this.jobLog,
				List.copyOf(this.domains), this.metrics, this.ownerListener));
		owner.add(claim);
		this.directory.own(owner);
		this.endpoints.values().forEach(owner::endpointListed);
		if (present.isEmpty()) {
			this.ownershipListener.accept(true);
		}
	}

	/**
	 * Lets go of a pool that another host orders.
	 * @param pool the pool
	 * @param reason why, for the log
	 */
	void lose(String pool, String reason) {
		this.directory.ownOf(pool).filter((owner) -> !owner.isFrozen()).ifPresent((owner) -> {
			logger.atInfo().addKeyValue("pool", pool).addKeyValue("reason", reason).log("No longer the owner");
			owner.remove(pool);
			if (owner.pools().isEmpty()) {
				end(owner);
			}
		});
	}

	/**
	 * Takes note of the pools that a peer says it owns.
	 * @param reports the pools
	 */
	void peerOwns(List<PoolReport> reports) {
		reports.forEach((report) -> this.directory.ownOf(report.pool())
			.filter((owner) -> owner.token(report.pool()) < report.fencingToken())
			.ifPresent((owner) -> lose(report.pool(), "peer-with-higher-token")));
	}

	/**
	 * Ends an owner whose pools have gone to another host.
	 * @param owner the owner
	 */
	void end(PoolOwner owner) {
		if (this.directory.own().filter((current) -> current == owner).isPresent()) {
			this.directory.own(null);
			owner.discard();
			this.ownershipListener.accept(false);
		}
	}

	/**
	 * Claims nothing any more.
	 */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Gives up all jobs and lets go of all pools, and says so in the log.
	 */
	void release() {
		this.directory.own().ifPresent((owner) -> {
			logger.atInfo()
				.addKeyValue("pools", owner.pools())
				.addKeyValue("open_jobs", owner.jobCount())
				.log("Letting go of all pools");
			Set<String> pools = owner.pools();
			owner.close();
			end(owner);
			List<NewRecord> deletions = pools.stream().map((pool) -> NewRecord.deletion(CLAIM_PREFIX + pool)).toList();
			this.log.append(SharedTopic.MEMBERS, deletions, OptionalLong.empty());
		});
	}

	/**
	 * Takes a record of the endpoints' topic.
	 * @param endpointRecord the record
	 */
	void endpointRead(KeyedRecord endpointRecord) {
		String id = endpointRecord.key();
		if (endpointRecord.value() == null) {
			endpointMissing(id);
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
		this.missingSinceMillis.remove(entry.id());
		EndpointEntry before = this.endpoints.put(entry.id(), entry);
		if (before == null || before.ready() != entry.ready()
				|| before.startedEpochMillis() != entry.startedEpochMillis()) {
			logger.atInfo()
				.addKeyValue("endpoint", entry.id())
				.addKeyValue("ready", entry.ready())
				.addKeyValue("born", entry.startedEpochMillis())
				.log("Endpoint listed");
		}
		this.directory.own().ifPresent((owner) -> owner.endpointListed(entry));
	}

	/**
	 * Takes note that an endpoint is not listed. It counts as gone only if that lasts, as
	 * entries also lapse while their endpoint is cut off from the log.
	 * @param id the endpoint
	 */
	void endpointMissing(String id) {
		if (this.endpoints.containsKey(id)) {
			this.missingSinceMillis.putIfAbsent(id, Clock.nowMillis());
		}
	}

	private void dropMissing(long nowMillis) {
		List.copyOf(this.missingSinceMillis.entrySet())
			.stream()
			.filter((missing) -> nowMillis - missing.getValue() >= MISSING_MILLIS)
			.forEach((missing) -> endpointGone(missing.getKey()));
	}

	private void endpointGone(String id) {
		this.missingSinceMillis.remove(id);
		if (this.endpoints.remove(id) != null) {
			logger.atInfo().addKeyValue("endpoint", id).log("Endpoint no longer listed");
			this.directory.own().ifPresent((owner) -> owner.endpointUnlisted(id));
		}
	}

	/**
	 * Returns the endpoints that are listed.
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

}
