package org.masticwick.standin.process;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.jooby.Context;
import io.jooby.Sender;

/**
 * Writes to the sender of an HTTP response. A write blocks while too many chunks are not
 * yet sent, which bounds the memory that a slow client takes up.
 */
final class SenderOutputStream extends OutputStream {

	private static final int MAX_UNSENT_CHUNK_COUNT = 64;

	private static final long TIMEOUT_SECONDS = 10;

	private final Semaphore unsentChunkPermits = new Semaphore(MAX_UNSENT_CHUNK_COUNT);

	private final Sender sender;

	private volatile Throwable failure;

	SenderOutputStream(Sender sender) {
		this.sender = sender;
	}

	@Override
	public void write(int value) throws IOException {
		write(new byte[] { (byte) value }, 0, 1);
	}

	@Override
	public void write(byte[] bytes, int offset, int length) throws IOException {
		acquire(1);
		this.sender.write(Arrays.copyOfRange(bytes, offset, offset + length), this::onChunkSent);
	}

	@Override
	public void close() throws IOException {
		try {
			acquire(MAX_UNSENT_CHUNK_COUNT);
		}
		finally {
			this.sender.close();
		}
	}

	private void acquire(int count) throws IOException {
		try {
			if (!this.unsentChunkPermits.tryAcquire(count, TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("The client did not read enough of the response within " + TIMEOUT_SECONDS
						+ " s; the response is cut off");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("Interrupted");
		}
		if (this.failure != null) {
			throw new IOException("The response could not be sent to the client", this.failure);
		}
	}

	private void onChunkSent(Context context, Throwable cause) {
		if (cause != null) {
			this.failure = cause;
		}
		this.unsentChunkPermits.release();
	}

}
