package org.masticwick.wire;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.wire.internal.DurableRecords;

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
	public static byte[] write(DurableJob job) {
		return DurableRecords.write(job);
	}

	/**
	 * Writes how far a job is.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] write(DurableProgress progress) {
		return DurableRecords.write(progress);
	}

	/**
	 * Reads what a job is.
	 * @param bytes the bytes
	 * @return the job
	 * @throws MalformedMessageException if the bytes are no job
	 */
	public static DurableJob readJob(byte[] bytes) {
		return DurableRecords.readJob(bytes);
	}

	/**
	 * Reads how far a job is.
	 * @param bytes the bytes
	 * @return the progress
	 * @throws MalformedMessageException if the bytes are no progress
	 */
	public static DurableProgress readProgress(byte[] bytes) {
		return DurableRecords.readProgress(bytes);
	}

}
