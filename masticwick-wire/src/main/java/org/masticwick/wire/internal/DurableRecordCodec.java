package org.masticwick.wire.internal;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.wire.MalformedMessageException;

/**
 * Encodes and decodes the records of durable jobs as MessagePack.
 */
public final class DurableRecordCodec {

	private DurableRecordCodec() {
	}

	/**
	 * Encodes the definition of a job.
	 * @param job the job
	 * @return the bytes
	 */
	public static byte[] encode(DurableJob job) {
		return encode(PoolMessageTypes.DURABLE_JOB, job);
	}

	/**
	 * Encodes the progress of a job.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] encode(DurableProgress progress) {
		return encode(PoolMessageTypes.DURABLE_PROGRESS, progress);
	}

	/**
	 * Encodes a count.
	 * @param count the count, not negative
	 * @return the bytes
	 */
	public static byte[] encode(int count) {
		return encode(BasicTypes.COUNT, count);
	}

	/**
	 * Decodes a count.
	 * @param bytes the bytes
	 * @return the count
	 * @throws MalformedMessageException if the bytes do not encode a count
	 */
	public static int decodeCount(byte[] bytes) {
		return decode(BasicTypes.COUNT, bytes);
	}

	/**
	 * Decodes the definition of a job.
	 * @param bytes the bytes
	 * @return the job
	 * @throws MalformedMessageException if the bytes do not encode a job
	 */
	public static DurableJob decodeJob(byte[] bytes) {
		return decode(PoolMessageTypes.DURABLE_JOB, bytes);
	}

	/**
	 * Decodes the progress of a job.
	 * @param bytes the bytes
	 * @return the progress
	 * @throws MalformedMessageException if the bytes do not encode the progress of a job
	 */
	public static DurableProgress decodeProgress(byte[] bytes) {
		return decode(PoolMessageTypes.DURABLE_PROGRESS, bytes);
	}

	private static <T> byte[] encode(WireType<T> type, T value) {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			type.write(out, value);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new MalformedMessageException("Can't encode a record of a durable job: " + ex.getMessage(), ex);
		}
	}

	private static <T> T decode(WireType<T> type, byte[] bytes) {
		try {
			return type.read(new BoundedUnpacker(bytes, 0, bytes.length));
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new MalformedMessageException("Can't decode a record of a durable job: "
					+ ((ex.getMessage() != null) ? ex.getMessage() : ex.getClass().getSimpleName()), ex);
		}
	}

}
