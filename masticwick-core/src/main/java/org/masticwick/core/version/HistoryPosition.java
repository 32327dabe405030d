package org.masticwick.core.version;

/**
 * Position of a host in the log: how far it has replayed the log, and which history of
 * the log. Two hosts at the same offset with the same hash hold the same state.
 *
 * @param version the number of the active version
 * @param nextOffset the offset of the first record that is not applied yet
 * @param historyHash the hash over the records before that offset
 */
public record HistoryPosition(long version, long nextOffset, String historyHash) {

	/**
	 * Returns whether a host at this position may have applied records that a host at
	 * another position has not.
	 * @param other the position of the other host
	 * @return {@code true} if this version is higher, or if the versions are equal and
	 * this offset is higher
	 */
	public boolean aheadOf(HistoryPosition other) {
		return this.version > other.version || (this.version == other.version && this.nextOffset > other.nextOffset);
	}

}
