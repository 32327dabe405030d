package org.masticwick.platform;

import org.masticwick.core.process.ErrorCode;

/**
 * Thrown when the requested records have expired. Holds the offsets of the remaining
 * ones.
 */
public class RecordsExpiredException extends PlatformException {

	private final long beginOffset;

	private final long endOffset;

	/**
	 * Creates an exception.
	 * @param beginOffset the offset of the first record that has not expired
	 * @param endOffset the offset after the last record
	 */
	public RecordsExpiredException(long beginOffset, long endOffset) {
		super(ErrorCode.RECORDS_EXPIRED, "Records before offset " + beginOffset + " have expired", false, null);
		this.beginOffset = beginOffset;
		this.endOffset = endOffset;
	}

	/**
	 * Returns where the remaining records begin.
	 * @return the offset of the first record that has not expired
	 */
	public long beginOffset() {
		return this.beginOffset;
	}

	/**
	 * Returns where the remaining records end.
	 * @return the offset after the last record
	 */
	public long endOffset() {
		return this.endOffset;
	}

}
