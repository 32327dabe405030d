package org.masticwick.core.version;

import java.util.OptionalLong;

/**
 * Decoded content of a record in the log stream of release notes.
 */
public sealed interface SiteRecord {

	/** The name of the log stream that holds these records. */
	String STREAM = "site";

	/**
	 * Returns the type of the record as it is written in the log.
	 * @return the type; empty if the record could not be decoded
	 */
	String type();

	/**
	 * A record that publishes a release note.
	 *
	 * @param note the note
	 */
	record NoteRecord(ReleaseNote note) implements SiteRecord {

		/** The type of these records in the log. */
		static final String TYPE = "note";

		@Override
		public String type() {
			return TYPE;
		}

	}

	/**
	 * A record with the state of the site at an offset, which allows earlier records to
	 * expire.
	 *
	 * @param state the state
	 * @param restoresFrom the end offset of the log when the writer found that the log
	 * had lost records, if the snapshot restores them; empty if the state was replayed
	 * from this log
	 */
	record SnapshotRecord(SiteState state, OptionalLong restoresFrom) implements SiteRecord {

		/** The type of these records in the log. */
		static final String TYPE = "snapshot";

		@Override
		public String type() {
			return TYPE;
		}

		/**
		 * Returns whether a host may replay the log from the state of this snapshot on.
		 * @param offset the offset of the record itself
		 * @param beginOffset the offset of the first record that has not expired
		 * @return {@code true} if this snapshot does not restore lost records and all
		 * records from the next offset of its state on are still in the log
		 */
		public boolean canStartFold(long offset, long beginOffset) {
			return this.restoresFrom.isEmpty() && this.state.nextOffset() <= offset
					&& this.state.nextOffset() >= beginOffset;
		}

	}

	/**
	 * A record that this release does not support and therefore skips.
	 *
	 * @param type the type of the record; empty if the record could not be decoded
	 */
	record UnsupportedRecord(String type) implements SiteRecord {

	}

}
