package org.masticwick.wire.internal;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.wire.MalformedMessageException;

/**
 * Turns durable jobs to MessagePack and back.
 */
public final class DurableRecordCodec {

	private DurableRecordCodec() {
	}

	/**
	 * Writes what a job is.
	 * @param job the job
	 * @return the bytes
	 */
	public static byte[] encode(DurableJob job) {
		return encode(PoolMessageTypes.DURABLE_JOB, job);
	}

	/**
	 * Writes how far a job is.
	 * @param progress the progress
	 * @return the bytes
	 */
	public static byte[] encode(DurableProgress progress) {
		return encode(PoolMessageTypes.DURABLE_PROGRESS, progress);
	}

	/**
	 * Reads what a job is.
	 * @param bytes the bytes
	 * @return the job
	 */
	public static DurableJob decodeJob(byte[] bytes) {
		return decode(PoolMessageTypes.DURABLE_JOB, bytes);
	}

	/**
	 * Reads how far a job is.
	 * @param bytes the bytes
	 * @return the progress
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
			throw new MalformedMessageException("Record can't be written: " + ex.getMessage(), ex);
		}
	}

	private static <T> T decode(WireType<T> type, byte[] bytes) {
		try {
			return type.read(new BoundedUnpacker(bytes, 0, bytes.length));
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new MalformedMessageException("Record can't be read: " + ex.getMessage(), ex);
		}
	}

}
