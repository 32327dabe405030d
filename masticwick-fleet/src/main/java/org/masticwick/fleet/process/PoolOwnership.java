package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.SiteFormat;
import org.masticwick.fleet.version.SkippedRecords;

/**
 * Claims the pools without an owner, owns each until another host claims it, and releases
 * all of them before the process stops.
 */
final class PoolOwnership {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwnership.class);

	/** The prefix of the keys of claims in the members' topic. */
	static final String CLAIM_KEY_PREFIX = "owner/";

	/**
	 * The delay before a claim is retried: the log may still append a claim whose answer
	 * was lost.
	 */
	private static final long CLAIM_RETRY_MILLIS = 400;

	/**
	 * The delay before a claim is retried after a conflict: the time to read the records
	 * that caused it.
	 */
	private static final long CONFLICT_RETRY_MILLIS = 40;

	/**
	 * How long an endpoint may have no entry before it counts as removed. An entry that
	 * expired during an outage of the log is written again within two seconds after the
	 * outage.
	 */
	private static final long UNLISTED_LIMIT_MILLIS = 2_500;

	/**
	 * How long after the last new endpoint a site that starts for the first time may
	 * count as small. Hosts without pools load the endpoints more often than this.
	 */
	private static final long REGISTRATION_MILLIS = 5_000;

	/**
	 * How long an owner waits at most for the confirmation of a handover, in
	 * milliseconds, so that jobs do not wait for a previous owner that is lost. It is
	 * shorter than the time within which a lease has to be extended.
	 */
	private static final long MAX_TRANSFER_WAIT_MILLIS = 350;

	private final EventLoop eventLoop;

	private final MemberRecord self;

	private final Set<String> domains;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final SharedLog log;

	private final SiteFormat format;

	private final FleetMetrics metrics;

	private final ClaimRule rule;

	private final Map<String, EndpointEntry> endpoints = new HashMap<>();

	private final SkippedRecords skippedRecords = new SkippedRecords();

	private final Map<String, Long> unlistedSinceMillis = new HashMap<>();

	private final OwnerReachability ownerReachability;

	private final Function<List<String>, PoolOwner> ownerFactory;

	private final TopicFollower memberFollower;

	private final boolean firstStart;

	private Consumer<Boolean> ownershipListener = (owns) -> {
	};

	private final Set<String> poolsAwaitingTransfer = new HashSet<>();

	private long nextClaimMillis = Long.MIN_VALUE / 2;

	private long claimsEndOffset;

	private boolean singleOwnerSite;

	private long lastAddedMillis = Long.MIN_VALUE / 2;

	private boolean stopping;

	PoolOwnership(EventLoop eventLoop, MemberRecord self, Collection<String> domains, PeerTable peers,
			PoolDirectory directory, SharedLog log, SiteFormat format, FleetMetrics metrics,
			Function<List<String>, PoolOwner> ownerFactory, TopicFollower memberFollower,
			OwnerReachability ownerReachability, boolean firstStart) {
		this.eventLoop = eventLoop;
		this.self = self;
		this.domains = new TreeSet<>(domains);
		this.domains.add(self.domain());
		this.peers = peers;
		this.directory = directory;
		this.log = log;
		this.format = format;
		this.metrics = metrics;
		this.rule = new ClaimRule(self);
		this.ownerFactory = ownerFactory;
		this.memberFollower = memberFollower;
		this.ownerReachability = ownerReachability;
		this.firstStart = firstStart;
	}

	void onOwnershipChange(Consumer<Boolean> listener) {
		this.ownershipListener = listener;
	}

	/**
	 * Returns whether one host should own all pools.
	 * @return whether the strongest host can carry all endpoints
	 */
	boolean isSingleOwnerSite() {
		return this.singleOwnerSite;
	}

	private void assessSiteSize(long nowMillis) {
		int strongestMillicores = this.peers.members()
			.stream()
			.mapToInt(MemberRecord::processorMillicores)
			.reduce(this.self.processorMillicores(), Math::max);
		boolean settled = !this.firstStart || nowMillis - this.lastAddedMillis >= REGISTRATION_MILLIS;
		boolean single = OwnerCapacity.canOwn(this.endpoints.size(), strongestMillicores)
				&& (this.singleOwnerSite || settled);
		if (single != this.singleOwnerSite) {
			this.singleOwnerSite = single;
			logger.atInfo()
				.addKeyValue("single_owner", single)
				.addKeyValue("endpoints", this.endpoints.size())
				.addKeyValue("strongest_millicores", strongestMillicores)
				.log("Number of owners of the site decided: one, or one for each failure domain");
		}
	}

	void tick() {
		long nowMillis = Clock.nowMillis();
		removeUnlistedEndpoints(nowMillis);
		assessSiteSize(nowMillis);
		this.ownerReachability.tick(this.domains, nowMillis);
		if (!this.stopping) {
			claimPools(nowMillis);
			assumeStandbyOwnership(nowMillis);
		}
		this.directory.localOwner().ifPresent(PoolOwner::tick);
	}

	private void claimPools(long nowMillis) {
		if (this.memberFollower.nextOffset() < 0 || nowMillis < this.nextClaimMillis) {
			return;
		}
		List<String> claimablePools = this.domains.stream()
			.filter((pool) -> this.directory.localOwnerOf(pool).isEmpty())
			.filter((pool) -> !isOwnedByReachablePeer(pool))
			.filter((pool) -> this.rule.shouldClaim(situation(pool, nowMillis)))
			.toList();
		if (!claimablePools.isEmpty()) {
			claim(claimablePools, nowMillis);
		}
	}

	// A partitioned failure domain may not reach the log, so a standby needs no new
	// claim.
	private void assumeStandbyOwnership(long nowMillis) {
		String pool = this.self.domain();
		Optional<PoolClaim> claim = this.directory.claim(pool)
			.filter((poolClaim) -> poolClaim.standbyRank(this.self.hostName()) >= 0)
			.filter((poolClaim) -> this.directory.localOwnerOf(pool).isEmpty())
			.filter((poolClaim) -> !isOwnedByReachablePeer(pool))
			.filter((poolClaim) -> this.rule.shouldAssumeStandbyOwnership(situation(pool, nowMillis)));
		claim.ifPresent((poolClaim) -> applyClaim(poolClaim.forStandby(this.self)));
	}

	// Spares the state of the whole site where nothing is to be decided.
	private boolean isOwnedByReachablePeer(String pool) {
		boolean claimedByPeer = this.directory.claim(pool)
			.map(PoolClaim::owner)
			.filter((owner) -> !owner.hostName().equals(this.self.hostName()))
			.isPresent();
		return claimedByPeer && this.ownerReachability.unreachableSinceMillis(pool).isEmpty();
	}

	private ClaimRule.Situation situation(String pool, long nowMillis) {
		List<MemberRecord> reachableMembers = this.peers.reachableMembers(nowMillis);
		Set<HostAddress> owners = this.directory.owners();
		List<String> ownerHostNames = reachableMembers.stream()
			.filter((member) -> owners.contains(member.peerAddress()))
			.map(MemberRecord::hostName)
			.toList();
		return new ClaimRule.Situation(pool, this.directory.claim(pool).orElse(null),
				this.directory.claimAgeMillis(pool, nowMillis), this.directory.isOwnerReachable(pool, nowMillis),
				this.peers.isOwnerReachableByPeer(pool, nowMillis), this.peers.isDiscoveryComplete(nowMillis),
				this.ownerReachability.unreachableMillis(pool, nowMillis), isSingleOwnerSite(),
				this.peers.hasMembersIn(pool), reachableMembers, ownerHostNames);
	}

	/**
	 * Claims pools in the log, either all or none.
	 * @param pools the names of the pools
	 * @param nowMillis the time in milliseconds
	 * @return completes when the log has stored the claims; fails if it rejected them, or
	 * if it is unknown whether it stored them
	 */
	CompletableFuture<Void> claim(List<String> pools, long nowMillis) {
		this.nextClaimMillis = nowMillis + CLAIM_RETRY_MILLIS;
		long expectedEndOffset = Math.max(this.memberFollower.nextOffset(), this.claimsEndOffset);
		List<ClaimRecord> claims = pools.stream().map(this::claimRecord).toList();
		List<NewRecord> records = IntStream.range(0, pools.size())
			.mapToObj((index) -> new NewRecord(CLAIM_KEY_PREFIX + pools.get(index), claims.get(index).toBytes()))
			.toList();
		logger.atInfo()
			.addKeyValue("pools", pools)
			.addKeyValue("expected_end", expectedEndOffset)
			.addKeyValue("owners_before", pools.stream().map(this.directory::ownerAddress).toList())
			.log("Claiming pools in the log");
		this.metrics.claimAttempted();
		return this.log.append(SharedTopic.MEMBERS, records, OptionalLong.of(expectedEndOffset))
			.whenComplete((offset, error) -> handleClaimResult(pools, claims, offset, error))
			.thenApply((offset) -> null);
	}

	private ClaimRecord claimRecord(String pool) {
		List<String> standbyHostNames = Stream.concat(Stream.of(this.self), this.peers.members().stream())
			.filter((member) -> member.domain().equals(pool))
			.sorted(MemberRecord.STRONGEST_FIRST)
			.map(MemberRecord::hostName)
			.distinct()
			.limit(PoolClaim.MAX_STANDBYS)
			.toList();
		return new ClaimRecord(this.self, standbyHostNames);
	}

	private void handleClaimResult(List<String> pools, List<ClaimRecord> claims, Long offset, Throwable error) {
		if (error != null) {
			logger.atInfo()
				.addKeyValue("pools", pools)
				.addKeyValue("reason", error.getMessage())
				.log("Claim of pools failed; it is retried while they have no owner");
			if (isConflict(error)) {
				this.nextClaimMillis = Clock.nowMillis() + CONFLICT_RETRY_MILLIS;
			}
			return;
		}
		this.nextClaimMillis = Long.MIN_VALUE / 2;
		this.claimsEndOffset = Math.max(this.claimsEndOffset, offset + pools.size());
		IntStream.range(0, pools.size())
			.forEach((index) -> applyClaim(new PoolClaim(pools.get(index), this.self, PoolClaim.tokenAt(offset + index),
					claims.get(index).standbyHostNames())));
	}

	private static boolean isConflict(Throwable error) {
		Throwable cause = CallException.unwrap(error);
		return cause instanceof CallException call && call.code() == CallException.Code.CONFLICT;
	}

	/**
	 * Applies a claim that was read from the members' topic. A deletion releases the
	 * pool.
	 * @param claimRecord the record
	 */
	void applyClaimRecord(KeyedRecord claimRecord) {
		String pool = claimRecord.key().substring(CLAIM_KEY_PREFIX.length());
		try {
			long token = PoolClaim.tokenAt(claimRecord.offset());
			if (claimRecord.value() == null) {
				applyClaim(new PoolClaim(pool, null, token, List.of()));
				return;
			}
			ClaimRecord claim = ClaimRecord.read(claimRecord.value());
			applyClaim(new PoolClaim(pool, claim.owner(), token, claim.standbyHostNames()));
		}
		catch (InvalidRecordException ex) {
			if (this.skippedRecords.add(claimRecord.key(), ex.getMessage())) {
				logger.atWarn()
					.addKeyValue("key", SkippedRecords.shorten(claimRecord.key()))
					.addKeyValue("offset", claimRecord.offset())
					.addKeyValue("reason", ex.getMessage())
					.log("Unreadable claim ignored; the owner of its pool stays the same");
			}
		}
	}

	private void applyClaim(PoolClaim claim) {
		if (!this.directory.applyClaim(claim)) {
			return;
		}
		logger.atInfo()
			.addKeyValue("pool", claim.pool())
			.addKeyValue("owner", (claim.owner() != null) ? claim.owner().hostName() : "none")
			.addKeyValue("token", claim.fencingToken())
			.log("Newer claim of a pool applied");
		if (this.self.equals(claim.owner())) {
			assumeOwnership(claim);
		}
		else {
			dropPool(claim.pool(), "newer-claim");
		}
	}

	private void assumeOwnership(PoolClaim claim) {
		Optional<PoolOwner> existingOwner = this.directory.localOwner();
		PoolOwner owner = existingOwner.orElseGet(() -> this.ownerFactory.apply(List.copyOf(this.domains)));
		owner.addPool(claim);
		if (this.poolsAwaitingTransfer.contains(claim.pool())) {
			owner.awaitTransfer();
			this.eventLoop.schedule(() -> endAwaitedTransfer(List.of(claim.pool())), MAX_TRANSFER_WAIT_MILLIS,
					TimeUnit.MILLISECONDS);
		}
		this.directory.setLocalOwner(owner);
		this.endpoints.values().forEach(owner::endpointListed);
		if (existingOwner.isEmpty()) {
			this.ownershipListener.accept(true);
		}
	}

	/**
	 * Lets the local owner wait for the confirmation of the previous owner from the
	 * moment on at which one of these pools is claimed. The claim may be read from the
	 * log before the log has answered.
	 * @param pools the names of the pools that another host hands over
	 */
	void awaitTransfer(List<String> pools) {
		this.poolsAwaitingTransfer.addAll(pools);
	}

	/**
	 * Ends the wait for a confirmation that has come or has failed. Pools that are
	 * offered but not claimed yet do not keep the owner waiting.
	 * @param pools the names of the pools
	 */
	void endAwaitedTransfer(List<String> pools) {
		this.poolsAwaitingTransfer.removeAll(Set.copyOf(pools));
		boolean awaited = this.poolsAwaitingTransfer.stream()
			.anyMatch((pool) -> this.directory.localOwnerOf(pool).isPresent());
		if (!awaited) {
			this.directory.localOwner().ifPresent(PoolOwner::endAwaitedTransfer);
		}
	}

	/**
	 * Drops a pool that another host owns now, unless this host is handing its pools
	 * over.
	 * @param pool the name of the pool
	 * @param reason the reason, for the log
	 */
	void dropPool(String pool, String reason) {
		this.directory.localOwnerOf(pool).filter((owner) -> !owner.isFrozen()).ifPresent((owner) -> {
			logger.atInfo()
				.addKeyValue("pool", pool)
				.addKeyValue("reason", reason)
				.log("Pool dropped, as this host is no longer its owner");
			owner.removePool(pool);
			if (owner.pools().isEmpty()) {
				discardOwner(owner);
			}
		});
	}

	/**
	 * Drops each pool that a peer reports to own with a higher fencing token.
	 * @param reports the reports on the pools that the peer owns
	 */
	void applyPeerReports(List<PoolReport> reports) {
		reports.forEach((report) -> this.directory.localOwnerOf(report.pool())
			.filter((owner) -> owner.token(report.pool()) < report.fencingToken())
			.ifPresent((owner) -> dropPool(report.pool(), "peer-with-higher-token")));
	}

	/**
	 * Discards the local owner after its pools were dropped, handed over or released.
	 * @param owner the owner; ignored if it is not the current one
	 */
	void discardOwner(PoolOwner owner) {
		if (this.directory.localOwner().filter((current) -> current == owner).isPresent()) {
			this.directory.setLocalOwner(null);
			owner.discard();
			this.ownershipListener.accept(false);
		}
	}

	/**
	 * Stops claiming pools, as this host is about to stop.
	 */
	void stopClaiming() {
		this.stopping = true;
	}

	/**
	 * Abandons all jobs and releases all pools, by deleting their claims from the log.
	 */
	void releaseAllPools() {
		this.directory.localOwner().ifPresent((owner) -> {
			logger.atInfo()
				.addKeyValue("pools", owner.pools())
				.addKeyValue("open_jobs", owner.jobCount())
				.log("Releasing all pools and abandoning their jobs");
			Set<String> pools = owner.pools();
			owner.close();
			discardOwner(owner);
			List<NewRecord> deletions = pools.stream()
				.map((pool) -> NewRecord.deletion(CLAIM_KEY_PREFIX + pool))
				.toList();
			this.log.append(SharedTopic.MEMBERS, deletions, OptionalLong.empty());
		});
	}

	/**
	 * Applies a record of the endpoints' topic. A deletion means that the entry expired.
	 * @param endpointRecord the record
	 */
	void applyEndpointRecord(KeyedRecord endpointRecord) {
		String endpointId = endpointRecord.key();
		if (endpointRecord.value() == null) {
			this.skippedRecords.remove(endpointId);
			endpointUnlisted(endpointId);
			return;
		}
		EndpointEntry entry;
		try {
			entry = this.format.readEndpoint(endpointId, endpointRecord.value());
		}
		catch (InvalidRecordException ex) {
			logSkippedEndpoint(endpointId, endpointRecord.offset(), ex.getMessage());
			return;
		}
		this.skippedRecords.remove(endpointId);
		endpointListed(entry);
	}

	// Entries of other writers may name no endpoint, and are read with each load.
	private void logSkippedEndpoint(String endpointId, long offset, String reason) {
		if (this.skippedRecords.add(endpointId, reason)) {
			logger.atWarn()
				.addKeyValue("endpoint", SkippedRecords.shorten(endpointId))
				.addKeyValue("offset", offset)
				.addKeyValue("known", this.endpoints.containsKey(endpointId))
				.addKeyValue("reason", reason)
				.log("Unreadable entry of an endpoint skipped; the previous one is used if there is one");
		}
	}

	/**
	 * Lists the endpoints of a previous owner, which reads the log more often than a host
	 * that owns nothing. The load at the start of ownership removes those that have left.
	 * @param entries the entries
	 */
	void adoptEndpoints(List<EndpointEntry> entries) {
		entries.forEach(this::endpointListed);
	}

	private void endpointListed(EndpointEntry entry) {
		this.unlistedSinceMillis.remove(entry.id());
		EndpointEntry previousEntry = this.endpoints.put(entry.id(), entry);
		if (previousEntry == null) {
			this.lastAddedMillis = Clock.nowMillis();
		}
		boolean changed = previousEntry == null || previousEntry.ready() != entry.ready()
				|| previousEntry.startedEpochMillis() != entry.startedEpochMillis()
				|| !previousEntry.capacity().equals(entry.capacity());
		// Only an owner acts on a single endpoint; other hosts log how many they loaded.
		if (changed && this.directory.localOwnerOf(entry.domain()).isPresent()) {
			logger.atInfo()
				.addKeyValue("endpoint", entry.id())
				.addKeyValue("ready", entry.ready())
				.addKeyValue("born", entry.startedEpochMillis())
				.addKeyValue("address", entry.address())
				.addKeyValue("cpu_millicores", entry.capacity().cpuMillicores())
				.log("Endpoint added or changed");
		}
		this.directory.localOwner().ifPresent((owner) -> owner.endpointListed(entry));
	}

	/**
	 * Records that an endpoint has no entry. It is removed only if that lasts, as entries
	 * also expire while their endpoint can't reach the log.
	 * @param endpointId the id of the endpoint
	 */
	void endpointUnlisted(String endpointId) {
		if (this.endpoints.containsKey(endpointId)) {
			this.unlistedSinceMillis.putIfAbsent(endpointId, Clock.nowMillis());
		}
	}

	private void removeUnlistedEndpoints(long nowMillis) {
		List.copyOf(this.unlistedSinceMillis.entrySet())
			.stream()
			.filter((unlisted) -> nowMillis - unlisted.getValue() >= UNLISTED_LIMIT_MILLIS)
			.forEach((unlisted) -> removeEndpoint(unlisted.getKey()));
	}

	private void removeEndpoint(String endpointId) {
		this.unlistedSinceMillis.remove(endpointId);
		if (this.endpoints.remove(endpointId) != null) {
			logger.atInfo()
				.addKeyValue("endpoint", endpointId)
				.log("Endpoint removed, as its entry was not written again");
			this.directory.localOwner().ifPresent((owner) -> owner.endpointUnlisted(endpointId));
		}
	}

	/**
	 * Returns the endpoints that have not been removed.
	 * @return their ids, in their order
	 */
	Set<String> endpointIds() {
		return Collections.unmodifiableSet(new TreeSet<>(this.endpoints.keySet()));
	}

	/**
	 * Tells the scheduler that an entry host was lost, whose callers wait for jobs.
	 * @param peerAddress the peer address of the host, as the origins of its jobs have it
	 */
	void entryHostLost(String peerAddress) {
		this.directory.localOwner().ifPresent((owner) -> owner.entryHostLost(peerAddress));
	}

}
