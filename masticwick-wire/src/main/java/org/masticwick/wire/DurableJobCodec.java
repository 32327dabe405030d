package org.masticwick.wire;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.wire.internal.DurableRecordCodec;

/**
 * Encodes and decodes the records of durable jobs in the log, in the same format as
 * messages between entry hosts.
 */
public final class DurableJobCodec {

	private DurableJobCodec() {
	}

	/**
	 * Encodes the definition of a job.
	 * @param job the job
	 * @return the bytes
	 */
	public static byte[] encode(DurableJob job) {
		return DurableRecordCodec.encode(job);
	}

	/**
	 * Encodes the progress of a job.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] encode(DurableProgress progress) {
		return DurableRecordCodec.encode(progress);
	}

	/**
	 * Encodes a count.
	 * @param count the count, not negative
	 * @return the bytes
	 */
	public static byte[] encodeCount(int count) {
		return DurableRecordCodec.encode(count);
	}

	/**
	 * Decodes a count.
	 * @param bytes the bytes
	 * @return the count
	 * @throws MalformedMessageException if the bytes do not encode a count
	 */
	public static int decodeCount(byte[] bytes) {
		return DurableRecordCodec.decodeCount(bytes);
	}

	/**
	 * Decodes the definition of a job.
	 * @param bytes the bytes
	 * @return the job
	 * @throws MalformedMessageException if the bytes do not encode a job
	 */
	public static DurableJob decodeJob(byte[] bytes) {
		return DurableRecordCodec.decodeJob(bytes);
	}

	/**
	 * Decodes the progress of a job.
	 * @param bytes the bytes
	 * @return the progress
	 * @throws MalformedMessageException if the bytes do not encode the progress of a job
	 */
	public static DurableProgress decodeProgress(byte[] bytes) {
		return DurableRecordCodec.decodeProgress(bytes);
	}

}
