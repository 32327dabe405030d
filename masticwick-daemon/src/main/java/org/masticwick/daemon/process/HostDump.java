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
 * Says what the dump of an entry host shows.
 */
final class HostDump {

	private HostDump() {
	}

	/**
	 * Returns the dump of a host.
	 * @param components the parts of the host
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
				components.ticketBooks().rememberedCount(), components.collector().size()));
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
				StateDump.truncate(snapshot.services()), StateDump.truncate(snapshot.endpoints()),
				StateDump.truncate(snapshot.teams()), snapshot.counters());
	}

	/**
	 * Shows who the process is.
	 *
	 * @param domain the failure domain
	 * @param peer the address for peers
	 * @param incarnation the run of the process
	 * @param leaving whether a planned stop has begun
	 */
	record HostState(String domain, HostAddress peer, Incarnation incarnation, boolean leaving) {

	}

	/**
	 * Shows how following the log goes.
	 *
	 * @param everSucceeded whether the log was read at all
	 * @param ageMillis how long ago it was read last, in milliseconds; -1 for never
	 * @param behind whether the log lacks something that is in force here
	 * @param failureCount how many reads have failed
	 * @param lastFailure what failed last
	 */
	record LogState(boolean everSucceeded, long ageMillis, boolean behind, long failureCount, String lastFailure) {

		static LogState of(FollowerStatus status, long nowNanos) {
			long ageMillis = status.everSucceeded()
					? TimeUnit.NANOSECONDS.toMillis(nowNanos - status.lastSuccessNanos()) : -1;
			return new LogState(status.everSucceeded(), ageMillis, status.behind(), status.failureCount(),
					status.lastFailure());
		}

	}

	/**
	 * Shows what is known of a peer.
	 *
	 * @param domain the failure domain
	 * @param peer the address
	 * @param incarnation the run of the process
	 * @param liveness whether it is thought to run
	 * @param source where the knowledge comes from
	 * @param ageMillis how old the knowledge is, in milliseconds
	 * @param version the version in force there
	 * @param ready whether it takes callers
	 * @param leaving whether it stops
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
	 * Shows jobs that have not ended.
	 *
	 * @param activeCount how many there are
	 * @param active some of them
	 */
	record JobsState(int activeCount, List<ActiveJobState> active) {

	}

	/**
	 * Shows the tickets that are held.
	 *
	 * @param held the incarnations whose tickets are held
	 * @param rememberedCount how many submitted tickets are remembered
	 * @param collectedCount how many jobs of lost homes are or were collected
	 */
	record TicketsState(List<Incarnation> held, int rememberedCount, int collectedCount) {

	}

}
