package org.masticwick.core.version;

import java.util.OptionalLong;

/**
 * Is what a record of the stream of release notes says.
 */
public sealed interface SiteRecord {

	/** The stream of the log that holds these records. */
	String STREAM = "site";

	/**
	 * Returns the type of the record as the log holds it.
	 * @return the type; empty if the record can't be read
	 */
	String type();

	/**
	 * Holds a release note.
	 *
	 * @param note the note
	 */
	record NoteRecord(ReleaseNote note) implements SiteRecord {

		/** The type of these records. */
		static final String TYPE = "note";

		@Override
		public String type() {
			return TYPE;
		}

	}

	/**
	 * Holds the state at an offset, so that earlier records may expire.
	 *
	 * @param state the state
	 * @param restoresFrom the end of the log that its writer saw when the log had lost
	 * records; empty if the state was folded from this log
	 */
	record SnapshotRecord(SiteState state, OptionalLong restoresFrom) implements SiteRecord {

		/** The type of these records. */
		static final String TYPE = "snapshot";

		@Override
		public String type() {
			return TYPE;
		}

		/**
		 * Tells whether folding may start at this snapshot.
		 * @param offset the offset of the record itself
		 * @param beginOffset the offset of the first record that has not expired
		 * @return {@code true} if the records from the offset of the state on are there
		 */
		public boolean canStartFold(long offset, long beginOffset) {
			return this.restoresFrom.isEmpty() && this.state.nextOffset() <= offset
					&& this.state.nextOffset() >= beginOffset;
		}

	}

	/**
	 * Is a record that this release passes over.
	 *
	 * @param type the type of the record; empty if it can't be read
	 */
	record UnsupportedRecord(String type) implements SiteRecord {

	}

}
