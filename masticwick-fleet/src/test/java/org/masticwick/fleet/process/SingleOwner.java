package org.masticwick.fleet.process;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;

/**
 * A site with one owner, which registers all jobs itself.
 *
 * @param registrarPool the pool that all jobs are assigned to
 */
record SingleOwner(String registrarPool) implements SiteOwners {

	@Override
	public String registrarPool(String jobId) {
		return this.registrarPool;
	}

	@Override
	public Optional<HostAddress> reachableOwner(String pool) {
		return Optional.empty();
	}

	@Override
	public Optional<HostAddress> owner(String pool) {
		return Optional.empty();
	}

	@Override
	public Set<HostAddress> reachableOwners() {
		return Set.of();
	}

	@Override
	public boolean isOwner(HostAddress host) {
		return false;
	}

	@Override
	public boolean mayRunAtLostOwner(long receivedMillis) {
		return false;
	}

	@Override
	public long contactSinceMillis() {
		return Long.MIN_VALUE / 2;
	}

	@Override
	public CompletableFuture<PeerMessage> register(HostAddress owner, JobRegistration registration) {
		return CompletableFuture.failedFuture(new IllegalStateException("There is no other owner"));
	}

}
