package org.masticwick.core.version;

/**
 * Says how far a host has followed the log, and which history of it. Two hosts at the
 * same offset with the same hash hold the same state.
 *
 * @param version the version in force
 * @param nextOffset the offset of the first record that was not followed
 * @param historyHash the hash over the records before that offset
 */
public record HistoryPosition(long version, long nextOffset, String historyHash) {

	/**
	 * Tells whether a host at this position may have something that a host at another
	 * position lacks.
	 * @param other the position of the other host
	 * @return {@code true} if the version here is higher, or the same and further on
	 */
	public boolean aheadOf(HistoryPosition other) {
		return this.version > other.version || (this.version == other.version && this.nextOffset > other.nextOffset);
	}

}
