package org.masticwick.wire;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.wire.internal.DurableRecordCodec;

/**
 * Writes and reads durable jobs as they are kept in the shared log, in the same way as
 * messages between entry hosts.
 */
public final class DurableJobCodec {

	private DurableJobCodec() {
	}

	/**
	 * Writes what a job is.
	 * @param job the job
	 * @return the bytes
	 */
	public static byte[] encode(DurableJob job) {
		return DurableRecordCodec.encode(job);
	}

	/**
	 * Writes how far a job is.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] encode(DurableProgress progress) {
		return DurableRecordCodec.encode(progress);
	}

	/**
	 * Reads what a job is.
	 * @param bytes the bytes
	 * @return the job
	 * @throws MalformedMessageException if the bytes are no job
	 */
	public static DurableJob decodeJob(byte[] bytes) {
		return DurableRecordCodec.decodeJob(bytes);
	}

	/**
	 * Reads how far a job is.
	 * @param bytes the bytes
	 * @return the progress
	 * @throws MalformedMessageException if the bytes are no progress
	 */
	public static DurableProgress decodeProgress(byte[] bytes) {
		return DurableRecordCodec.decodeProgress(bytes);
	}

}
