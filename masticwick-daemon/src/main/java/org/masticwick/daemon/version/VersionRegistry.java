package org.masticwick.daemon.version;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.masticwick.core.version.HistoryPosition;
import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.NoteFold;
import org.masticwick.core.version.SiteState;
import org.masticwick.core.version.SiteVersion;

/**
 * Holds the version in force. Reading takes no lock; what is in force only grows.
 */
public final class VersionRegistry {

	private static final HistoryPosition UNKNOWN_POSITION = new HistoryPosition(-1, -1, "");

	private final AtomicReference<SiteState> inForce = new AtomicReference<>();

	private final List<Consumer<SiteVersion>> listeners = new CopyOnWriteArrayList<>();

	private final RecentRecords recentRecords;

	/**
	 * Creates a registry that has no version yet.
	 * @param recentRecords where records are kept for peers
	 */
	public VersionRegistry(RecentRecords recentRecords) {
		this.recentRecords = recentRecords;
	}

	/**
	 * Returns the version in force.
	 * @return the version; {@link SiteVersion#EMPTY} while none is known
	 */
	public SiteVersion activeVersion() {
		return state().version();
	}

	/**
	 * Returns the state in force.
	 * @return the state; {@link SiteState#EMPTY} while none is known
	 */
	public SiteState state() {
		SiteState state = this.inForce.get();
		return (state != null) ? state : SiteState.EMPTY;
	}

	/**
	 * Tells whether a state was loaded from the log or from a peer. The state of a site
	 * without notes is known too.
	 * @return {@code true} from the first state on
	 */
	public boolean hasState() {
		return this.inForce.get() != null;
	}

	/**
	 * Returns the offset of the first record that is not in force.
	 * @return the offset; 0 while no state is known
	 */
	public long nextOffset() {
		return state().nextOffset();
	}

	/**
	 * Returns what heartbeats tell peers.
	 * @return the position; behind every other one while no state is known
	 */
	public HistoryPosition position() {
		SiteState state = this.inForce.get();
		return (state != null) ? state.position() : UNKNOWN_POSITION;
	}

	/**
	 * Adds a listener. It is called with the version in force, if one is known, and then
	 * with each later one in order. It must be quick.
	 * @param listener what to call
	 */
	public synchronized void addVersionListener(Consumer<SiteVersion> listener) {
		this.listeners.add(listener);
		if (hasState()) {
			listener.accept(activeVersion());
		}
	}

	/**
	 * Puts a state in force if it takes nothing back and is further on.
	 * @param next the state
	 * @return {@code true} if it is in force now
	 */
	public synchronized boolean advance(SiteState next) {
		SiteState state = this.inForce.get();
		return (state == null || (next.position().aheadOf(state.position()) && next.containsNotesOf(state)))
				&& publish(next);
	}

	/**
	 * Puts a state in force that was folded from the log as it stands now, though its
	 * offset may be lower than before because the log has lost records.
	 * @param next the state
	 * @return {@code true} if it is in force now
	 */
	public synchronized boolean rebase(SiteState next) {
		SiteState state = this.inForce.get();
		boolean same = state != null && next.position().equals(state.position());
		return !same && (state == null || next.containsNotesOf(state)) && publish(next);
	}

	/**
	 * Folds a record into a state, keeps the record for peers and puts the result in
	 * force if it is further on.
	 * @param state the state before the record
	 * @param record the record
	 * @return the state after the record
	 */
	public synchronized SiteState foldRecord(SiteState state, LogRecord record) {
		SiteState next = NoteFold.fold(state, record);
		this.recentRecords.add(record, state.historyHash(), next.historyHash());
		advance(next);
		return next;
	}

	/**
	 * Returns the records kept for peers.
	 * @return the records
	 */
	RecentRecords recentRecords() {
		return this.recentRecords;
	}

	private boolean publish(SiteState next) {
		SiteState before = this.inForce.getAndSet(next);
		if (before == null || before.version().number() != next.version().number()) {
			this.listeners.forEach((listener) -> listener.accept(next.version()));
		}
		return true;
	}

}
