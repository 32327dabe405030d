package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobTransfer;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Hands pools with their running jobs over to another entry host: before a planned stop,
 * to the owner of the other pools after a network partition, to a host that reaches the
 * log, and to a stronger host. The new owner first claims the pools, so that the
 * endpoints refuse commands of the previous one from then on. It then asks the previous
 * one to confirm before it continues the jobs, as that one resumes them if the claim
 * takes too long.
 */
final class PoolHandover {

	private static final Logger logger = LoggerFactory.getLogger(PoolHandover.class);

	/**
	 * The timeout of a handover. It is shorter than a lease, so that tasks keep running
	 * meanwhile.
	 */
	private static final long TIMEOUT_MILLIS = 350;

	/** The delay before a failed handover is retried. */
	private static final long RETRY_MILLIS = 700;

	/**
	 * How long a peer must have been reachable without a gap before pools are handed to
	 * it.
	 */
	private static final long STABLE_CONTACT_MILLIS = 3_000;

	/**
	 * After how long without the log an owner of durable jobs hands its pools to a host
	 * that reaches it.
	 */
	private static final long LOG_OUTAGE_MILLIS = 1_000;

	/**
	 * How many times the processor of this host another one needs to justify the cost of
	 * a handover.
	 */
	private static final double STRONGER_FACTOR = 1.5;

	private final EventLoop eventLoop;

	private final MemberRecord self;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final JobRouter router;

	private PeerTransport transport;

	private long nextAttemptMillis = Long.MIN_VALUE / 2;

	private long offerCount;

	/** The handover that this host has offered, or {@code null}. */
	private Offer pendingOffer;

	private boolean stopping;

	PoolHandover(EventLoop eventLoop, MemberRecord self, PeerTable peers, PoolDirectory directory,
			PoolOwnership ownership, JobRouter router) {
		this.eventLoop = eventLoop;
		this.self = self;
		this.peers = peers;
		this.directory = directory;
		this.ownership = ownership;
		this.router = router;
	}

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	void beginStop() {
		this.stopping = true;
		this.nextAttemptMillis = Long.MIN_VALUE / 2;
	}

	void tick() {
		long nowMillis = Clock.nowMillis();
		Optional<PoolOwner> owner = this.directory.localOwner().filter((localOwner) -> !localOwner.isFrozen());
		if (owner.isEmpty() || nowMillis < this.nextAttemptMillis) {
			return;
		}
		Optional<MemberRecord> newOwner = this.stopping ? successor(nowMillis)
				: hostWithLog(owner.get(), nowMillis).or(() -> largerOwner(owner.get(), nowMillis))
					.or(() -> strongerHost(nowMillis));
		newOwner.ifPresent((member) -> handOver(owner.get(), member, nowMillis));
	}

	// Of equal hosts the one started last is the least likely to be stopped next. Where
	// each failure domain has its own owner, only hosts of that domain are eligible.
	private Optional<MemberRecord> successor(long nowMillis) {
		return eligibleOwners(nowMillis)
			.max(Comparator.comparing((MemberRecord member) -> this.directory.poolCount(member.peerAddress()))
				.thenComparing(MemberRecord::processorMillicores)
				.thenComparing(MemberRecord::incarnation));
	}

	// Durable jobs need the log, which may be unreachable for single hosts only.
	private Optional<MemberRecord> hostWithLog(PoolOwner owner, long nowMillis) {
		long sinceMillis = owner.jobsUnwritableSinceMillis();
		if (sinceMillis < 0 || nowMillis - sinceMillis < LOG_OUTAGE_MILLIS) {
			return Optional.empty();
		}
		return eligibleOwners(nowMillis)
			.filter((member) -> this.peers.report(member.peerAddress())
				.filter(PeerMessage.HostReport::logReachable)
				.isPresent())
			.min(MemberRecord.STRONGEST_FIRST);
	}

	// On a site with hosts of several sizes, an owner that replaced a strong host during
	// an outage hands the pools back once that host is reachable again.
	private Optional<MemberRecord> strongerHost(long nowMillis) {
		return eligibleOwners(nowMillis).filter(
				(member) -> this.peers.contactDurationMillis(member.peerAddress(), nowMillis) >= STABLE_CONTACT_MILLIS)
			.filter((member) -> member.processorMillicores() >= STRONGER_FACTOR * this.self.processorMillicores())
			.min(MemberRecord.STRONGEST_FIRST);
	}

	private Optional<MemberRecord> largerOwner(PoolOwner owner, long nowMillis) {
		if (!this.ownership.isSingleOwnerSite()) {
			return Optional.empty();
		}
		int ownPoolCount = owner.pools().size();
		return this.peers.reachableMembers(nowMillis)
			.stream()
			.filter((member) -> this.peers.contactDurationMillis(member.peerAddress(),
					nowMillis) >= STABLE_CONTACT_MILLIS)
			.filter((member) -> isLargerOwner(member, ownPoolCount))
			.findFirst();
	}

	private boolean isLargerOwner(MemberRecord member, int ownPoolCount) {
		long peerPoolCount = this.directory.poolCount(member.peerAddress());
		boolean hasLowerName = member.hostName().compareTo(this.self.hostName()) < 0;
		return peerPoolCount > ownPoolCount || peerPoolCount == ownPoolCount && hasLowerName;
	}

	// On a large site a pool stays with the hosts of its failure domain.
	private Stream<MemberRecord> eligibleOwners(long nowMillis) {
		boolean singleOwnerSite = this.ownership.isSingleOwnerSite();
		return this.peers.reachableMembers(nowMillis)
			.stream()
			.filter((member) -> singleOwnerSite || member.domain().equals(this.self.domain()));
	}

	private void handOver(PoolOwner owner, MemberRecord newOwner, long nowMillis) {
		this.nextAttemptMillis = nowMillis + RETRY_MILLIS;
		List<String> pools = List.copyOf(owner.pools());
		PoolTransfer transfer = owner.freeze();
		logger.atInfo()
			.addKeyValue("pools", pools)
			.addKeyValue("to", newOwner.hostName())
			.addKeyValue("jobs", transfer.jobs().size())
			.log("Handing pools over to another host");
		this.offerCount++;
		Offer offer = new Offer(this.offerCount, owner, pools, newOwner.peerAddress());
		this.pendingOffer = offer;
		CompletableFuture<PeerMessage> answer = this.transport.call(newOwner.peerAddress(),
				new PeerMessage.HandOverPools(pools, transfer, offer.number()));
		this.eventLoop.schedule(() -> answer.complete(null), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		answer.whenComplete((message, error) -> handleAnswer(offer, message));
	}

	private void handleAnswer(Offer offer, PeerMessage answer) {
		if (this.pendingOffer != offer) {
			return;
		}
		boolean claimedByPeer = offer.pools().stream().anyMatch((pool) -> isClaimedByPeer(pool));
		logger.atInfo()
			.addKeyValue("pools", offer.pools())
			.addKeyValue("acknowledged", answer instanceof PeerMessage.Acknowledged)
			.addKeyValue("claimed_by_other", claimedByPeer)
			.log("Handover completed if acknowledged or claimed by the other host; retried otherwise");
		if (answer instanceof PeerMessage.Acknowledged) {
			complete(offer);
		}
		else if (claimedByPeer) {
			// The other host is about to ask for the confirmation.
			this.eventLoop.schedule(() -> completeIfPending(offer), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			this.pendingOffer = null;
			offer.owner().unfreeze();
		}
	}

	private void completeIfPending(Offer offer) {
		if (this.pendingOffer == offer) {
			complete(offer);
		}
	}

	private void complete(Offer offer) {
		this.pendingOffer = null;
		this.ownership.discardOwner(offer.owner());
	}

	/**
	 * Confirms a handover to the host that has claimed the pools, unless this host has
	 * resumed their jobs meanwhile.
	 * @param message the question, with the number of the offer
	 * @param from the peer address of that host
	 * @return the answer to it
	 */
	PeerMessage confirm(PeerMessage.ConfirmHandOver message, HostAddress from) {
		Offer offer = this.pendingOffer;
		if (offer == null || offer.number() != message.offerNumber() || !offer.newOwner().equals(from)) {
			return new PeerMessage.ErrorAnswer("resumed", "This host has continued the jobs itself");
		}
		complete(offer);
		return new PeerMessage.Acknowledged();
	}

	private boolean isClaimedByPeer(String pool) {
		return this.directory.claim(pool).filter((claim) -> !this.self.equals(claim.owner())).isPresent();
	}

	/**
	 * Accepts pools that another host hands over: claims them and continues their jobs,
	 * if that host confirms.
	 * @param message the pools with their jobs and endpoints
	 * @param from the peer address of that host
	 * @return the answer to that host; an error if this host is stopping or handing over
	 * its own pools, or if that host has resumed the jobs; fails if the claim does
	 */
	CompletionStage<PeerMessage> accept(PeerMessage.HandOverPools message, HostAddress from) {
		if (this.stopping || this.directory.localOwner().filter(PoolOwner::isFrozen).isPresent()) {
			return CompletableFuture.completedFuture(
					new PeerMessage.ErrorAnswer("busy", "This host is stopping or handing over its own pools"));
		}
		if (this.directory.localOwner().isEmpty()) {
			// Before the claim, as the load that follows it removes those that have left.
			this.ownership.adoptEndpoints(message.transfer().endpoints());
		}
		long receivedMillis = Clock.nowMillis();
		this.ownership.awaitTransfer(message.pools());
		return this.ownership.claim(message.pools(), receivedMillis)
			.thenCompose((nothing) -> this.transport.call(from, new PeerMessage.ConfirmHandOver(message.offerNumber())))
			.thenApply((answer) -> {
				if (!isConfirmed(answer)) {
					logger.atWarn()
						.addKeyValue("pools", message.pools())
						.addKeyValue("from", from)
						.addKeyValue("jobs", message.transfer().jobs().size())
						.log("Previous owner has resumed before the claim; its jobs are not continued here");
					return answer;
				}
				adopt(message.transfer(), receivedMillis);
				return new PeerMessage.Acknowledged();
			})
			.whenComplete((answer, error) -> this.ownership.endAwaitedTransfer(message.pools()));
	}

	// A host of an earlier version does not know the question, and expects this host to
	// continue.
	private static boolean isConfirmed(PeerMessage answer) {
		return answer instanceof PeerMessage.Acknowledged || answer instanceof PeerMessage.ErrorAnswer error
				&& error.code().equals(PeerErrorCodes.UNKNOWN_MESSAGE);
	}

	private void adopt(PoolTransfer transfer, long receivedMillis) {
		logger.atInfo()
			.addKeyValue("jobs", transfer.jobs().size())
			.addKeyValue("endpoints", transfer.endpoints().size())
			.log("Pools claimed in a handover; continuing their jobs");
		Map<String, List<Long>> callNumbers = transfer.jobs()
			.stream()
			.map(JobTransfer::origin)
			.collect(Collectors.groupingBy(JobOrigin::host,
					Collectors.mapping(JobOrigin::callNumber, Collectors.toCollection(ArrayList::new))));
		callNumbers.keySet()
			.stream()
			.map(HostAddress::parse)
			.forEach((entryHost) -> this.peers.expectFrequentReports(entryHost, Clock.nowMillis()));
		callNumbers.forEach((entryHost, numbers) -> notifyJobsMoved(HostAddress.parse(entryHost), numbers));
		this.directory.localOwner().ifPresent((owner) -> owner.adopt(transfer));
		long waitMillis = Math.max(0, receivedMillis + PeerTable.PEER_TIMEOUT_MILLIS - Clock.nowMillis());
		this.eventLoop.schedule(() -> callNumbers.keySet()
			.stream()
			.filter((entryHost) -> isUnreachable(HostAddress.parse(entryHost)))
			.forEach(this.ownership::entryHostLost), waitMillis, TimeUnit.MILLISECONDS);
	}

	// The loss of a callers' host is reported once, which may have been before its jobs
	// came here. A host that reports to owners only has yet to send its first report.
	private boolean isUnreachable(HostAddress entryHost) {
		return !entryHost.equals(this.self.peerAddress()) && !this.peers.isReachable(entryHost, Clock.nowMillis());
	}

	private void notifyJobsMoved(HostAddress entryHost, List<Long> callNumbers) {
		if (entryHost.equals(this.self.peerAddress())) {
			this.router.jobsMoved(callNumbers, entryHost);
		}
		else {
			this.transport.send(entryHost, new PeerMessage.JobsMoved(callNumbers));
		}
	}

	/**
	 * A handover that this host has offered to another one.
	 *
	 * @param number the number of the offer, from 1
	 * @param owner the owner of the pools at this host, which is frozen
	 * @param pools the names of the pools
	 * @param newOwner the peer address of the other host
	 */
	private record Offer(long number, PoolOwner owner, List<String> pools, HostAddress newOwner) {
	}

}
