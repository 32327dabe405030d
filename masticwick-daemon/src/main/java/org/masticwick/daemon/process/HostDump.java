package org.masticwick.daemon.process;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.PeerSource;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.daemon.request.ActiveJobState;
import org.masticwick.daemon.version.FollowerStatus;

/**
 * Assembles the state dump of an entry host from its components.
 */
final class HostDump {

	private HostDump() {
	}

	/**
	 * Creates the dump of a host; each part reads its component anew at each dump.
	 * @param components the components of the host
	 * @return the dump
	 */
	static StateDump create(ObservedComponents components) {
		StateDump dump = new StateDump();
		EntryHost self = components.self();
		dump.addPart("host", () -> new HostState(self.domain(), self.peerAddress(), self.incarnation(),
				components.leaving().getAsBoolean()));
		dump.addPart("settings", components::settings);
		dump.addPart("versions", components.versionReport()::siteReport);
		dump.addPart("log", () -> LogState.of(components.logFollower().status(), components.time().nanoTime()));
		dump.addPart("peers", () -> peers(components));
		dump.addPart("scheduler", () -> truncated(components.scheduler().snapshot(components.time().nanoTime())));
		dump.addPart("jobs", () -> new JobsState(components.dispatcher().activeJobCount(),
				components.dispatcher().activeJobs(StateDump.MAX_ENTRY_COUNT)));
		dump.addPart("tickets", () -> new TicketsState(components.ticketBooks().heldIncarnations(),
				components.ticketBooks().rememberedCount(), components.collector().collectedJobCount()));
		dump.addPart("traffic", components.traffic()::snapshot);
		return dump;
	}

	private static List<PeerState> peers(ObservedComponents components) {
		return StateDump.truncate(components.membership().peers(components.time().nanoTime()))
			.stream()
			.map(PeerState::of)
			.toList();
	}

	private static SchedulerSnapshot truncated(SchedulerSnapshot snapshot) {
		return new SchedulerSnapshot(snapshot.versionNumber(), snapshot.placement(),
				StateDump.truncate(snapshot.drainedDomains()), StateDump.truncate(snapshot.services()),
				StateDump.truncate(snapshot.endpoints()), StateDump.truncate(snapshot.teams()), snapshot.counters());
	}

	/**
	 * The part {@code host}: the identity of this process.
	 *
	 * @param domain the failure domain
	 * @param peer the address on which this host serves peers
	 * @param incarnation the incarnation of this host
	 * @param leaving whether a planned stop has begun
	 */
	record HostState(String domain, HostAddress peer, Incarnation incarnation, boolean leaving) {

	}

	/**
	 * The part {@code log}: the status of reading the log.
	 *
	 * @param everSucceeded whether any read of the log has succeeded since the start
	 * @param ageMillis the time since the last successful read, in milliseconds; -1 if
	 * there was none
	 * @param behind whether the log lacks records that are part of the active version of
	 * this host
	 * @param failureCount how many reads have failed since the start
	 * @param lastFailure the error of the last failed read; empty if none has failed
	 */
	record LogState(boolean everSucceeded, long ageMillis, boolean behind, long failureCount, String lastFailure) {

		static LogState of(FollowerStatus status, long nowNanos) {
			long ageMillis = status.everSucceeded()
					? TimeUnit.NANOSECONDS.toMillis(nowNanos - status.lastSuccessNanos()) : -1;
			return new LogState(status.everSucceeded(), ageMillis, status.logBehind(), status.failureCount(),
					status.lastFailure());
		}

	}

	/**
	 * An entry of the part {@code peers}: the last status received of a peer.
	 *
	 * @param domain the failure domain
	 * @param peer the address on which the peer serves peers
	 * @param incarnation the incarnation of the peer
	 * @param liveness whether the peer is alive, suspect or lost, by the age of its
	 * status
	 * @param source the kind of message that the status comes from
	 * @param ageMillis the age of the status, in milliseconds
	 * @param version the number of the active version of the peer
	 * @param ready whether the peer accepts new callers
	 * @param leaving whether a planned stop of the peer has begun
	 */
	record PeerState(String domain, HostAddress peer, Incarnation incarnation, Liveness liveness, PeerSource source,
			long ageMillis, long version, boolean ready, boolean leaving) {

		static PeerState of(PeerView view) {
			EntryHost host = view.host();
			return new PeerState(host.domain(), host.peerAddress(), host.incarnation(), view.liveness(), view.source(),
					view.ageMillis(), view.status().versionNumber(), view.status().ready(), view.status().leaving());
		}

	}

	/**
	 * The part {@code jobs}: jobs that have no final answer yet.
	 *
	 * @param activeCount how many jobs are active
	 * @param active the state of some of them, at most {@link StateDump#MAX_ENTRY_COUNT}
	 */
	record JobsState(int activeCount, List<ActiveJobState> active) {

	}

	/**
	 * The part {@code tickets}: the tickets that this host holds.
	 *
	 * @param held the incarnations of hosts whose tickets this host holds: its own and
	 * those that it inherited
	 * @param rememberedCount how many submitted tickets have not expired; their answers
	 * are kept
	 * @param collectedCount of how many jobs the outcome was, or is being, collected from
	 * endpoints because the issuing host is lost
	 */
	record TicketsState(List<Incarnation> held, int rememberedCount, int collectedCount) {

	}

}
