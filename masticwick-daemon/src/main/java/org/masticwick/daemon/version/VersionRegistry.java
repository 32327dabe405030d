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
 * Holds the active state of the site and the active version in it. Reads take no lock.
 * Release notes are only ever added to the active state, never removed.
 */
public final class VersionRegistry {

	private static final HistoryPosition UNKNOWN_POSITION = new HistoryPosition(-1, -1, "");

	private final AtomicReference<SiteState> activeState = new AtomicReference<>();

	private final List<Consumer<SiteVersion>> listeners = new CopyOnWriteArrayList<>();

	private final RecentRecords recentRecords;

	/**
	 * Creates a registry without a state.
	 * @param recentRecords receives each folded record, to be relayed to peers
	 */
	public VersionRegistry(RecentRecords recentRecords) {
		this.recentRecords = recentRecords;
	}

	/**
	 * Returns the active version.
	 * @return the version; {@link SiteVersion#EMPTY} while there is no state
	 */
	public SiteVersion activeVersion() {
		return state().version();
	}

	/**
	 * Returns the active state.
	 * @return the state; {@link SiteState#EMPTY} while there is none
	 */
	public SiteState state() {
		SiteState state = this.activeState.get();
		return (state != null) ? state : SiteState.EMPTY;
	}

	/**
	 * Returns whether a state was loaded from the log or from a peer. The state of a site
	 * without release notes counts too.
	 * @return {@code true} once the first state is active
	 */
	public boolean hasState() {
		return this.activeState.get() != null;
	}

	/**
	 * Returns the offset of the first record that the active state doesn't include.
	 * @return the offset; 0 while there is no state
	 */
	public long nextOffset() {
		return state().nextOffset();
	}

	/**
	 * Returns the position in the log's history that heartbeats report to peers.
	 * @return the position; a position behind all others while there is no state
	 */
	public HistoryPosition position() {
		SiteState state = this.activeState.get();
		return (state != null) ? state.position() : UNKNOWN_POSITION;
	}

	/**
	 * Adds a listener for versions. It is called with the active version, if there is a
	 * state, before this method returns, and then with each later version in order. It
	 * runs under the lock that serializes changes of the active state, so it must not
	 * block.
	 * @param listener receives the versions
	 */
	public synchronized void addVersionListener(Consumer<SiteVersion> listener) {
		this.listeners.add(listener);
		if (hasState()) {
			listener.accept(activeVersion());
		}
	}

	/**
	 * Makes a state active if its position is ahead of the active one and it contains all
	 * active release notes.
	 * @param next the candidate state
	 * @return {@code true} if the candidate was made active
	 */
	public synchronized boolean advance(SiteState next) {
		SiteState state = this.activeState.get();
		return (state == null || (next.position().aheadOf(state.position()) && next.containsNotesOf(state)))
				&& publish(next);
	}

	/**
	 * Makes a state active that was folded from the current log, even if its offset is
	 * lower than that of the active state because the log has lost records. It must
	 * contain all active release notes.
	 * @param next the candidate state
	 * @return {@code true} if the candidate was made active
	 */
	public synchronized boolean rebase(SiteState next) {
		SiteState state = this.activeState.get();
		boolean same = state != null && next.position().equals(state.position());
		return !same && (state == null || next.containsNotesOf(state)) && publish(next);
	}

	/**
	 * Folds a record into a state, buffers the record for peers and makes the result
	 * active by the rules of {@link #advance}.
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
	 * Returns the buffer of records for peers.
	 * @return the buffer
	 */
	RecentRecords recentRecords() {
		return this.recentRecords;
	}

	private boolean publish(SiteState next) {
		SiteState previous = this.activeState.getAndSet(next);
		if (previous == null || previous.version().number() != next.version().number()) {
			this.listeners.forEach((listener) -> listener.accept(next.version()));
		}
		return true;
	}

}
