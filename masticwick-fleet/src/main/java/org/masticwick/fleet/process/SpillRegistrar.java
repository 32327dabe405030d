package org.masticwick.fleet.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Asks the owner of this host's failure domain which pool a job goes to, before it is
 * sent to another owner, so that the copies of a job that reach several hosts of the
 * domain end up at one owner. Without a reachable owner of the domain the job goes to the
 * selected pool.
 */
final class SpillRegistrar {

	private static final Logger logger = LoggerFactory.getLogger(SpillRegistrar.class);

	/** A connection that has just broken is opened again by the second call. */
	private static final int MAX_CALLS = 2;

	private final MemberRecord self;

	private final PoolDirectory directory;

	private PeerTransport transport;

	SpillRegistrar(MemberRecord self, PoolDirectory directory) {
		this.self = self;
		this.directory = directory;
	}

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	/**
	 * Returns whether the owner of this failure domain has to be asked.
	 * @param pool the pool that was selected
	 * @param spilledTo the pool that the owner named for this copy before, or an empty
	 * string
	 * @param nowMillis the time in milliseconds
	 * @return whether the pool has another owner, or the job is recorded at another one
	 */
	boolean isNeeded(String pool, String spilledTo, long nowMillis) {
		return domainOwner(nowMillis).filter(
				(owner) -> !spilledTo.isEmpty() || !this.directory.ownerAddress(pool).filter(owner::equals).isPresent())
			.isPresent();
	}

	private Optional<HostAddress> domainOwner(long nowMillis) {
		return this.directory.ownerAddress(this.self.domain())
			.filter((owner) -> this.directory.isOwnerReachable(this.self.domain(), nowMillis));
	}

	/**
	 * Asks which pool a copy of a job goes to.
	 * @param question the job, and the pool that was selected
	 * @param nowMillis the time in milliseconds
	 * @return the name of the pool; the selected one if the owner does not answer
	 */
	CompletableFuture<String> place(PeerMessage.PlaceJob question, long nowMillis) {
		Optional<PoolOwner> localOwner = this.directory.localOwnerOf(this.self.domain());
		if (localOwner.isPresent()) {
			return CompletableFuture.completedFuture(localOwner.filter((owner) -> !owner.isFrozen())
				.map((owner) -> owner.place(this.self.domain(), question))
				.orElse(question.pool()));
		}
		CompletableFuture<String> placed = new CompletableFuture<>();
		domainOwner(nowMillis).ifPresentOrElse((owner) -> call(owner, question, 1, placed),
				() -> placed.complete(question.pool()));
		return placed;
	}

	private void call(HostAddress owner, PeerMessage.PlaceJob question, int callCount,
			CompletableFuture<String> placed) {
		this.transport.call(owner, question).whenComplete((answer, error) -> {
			if (answer instanceof PeerMessage.JobPlaced jobPlaced) {
				placed.complete(jobPlaced.pool());
			}
			else if (error != null && callCount < MAX_CALLS) {
				call(owner, question, callCount + 1, placed);
			}
			else {
				logger.atInfo()
					.addKeyValue("job", question.jobId())
					.addKeyValue("pool", question.pool())
					.addKeyValue("owner", owner)
					.log("Owner of the failure domain did not answer; the job goes to the selected pool");
				placed.complete(question.pool());
			}
		});
	}

}
