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
 * Writes to the sender of an answer and waits while too many pieces are on their way.
 */
final class SenderOutputStream extends OutputStream {

	private static final int MAX_PIECE_COUNT = 64;

	private static final long TIMEOUT_SECONDS = 10;

	private final Semaphore pieces = new Semaphore(MAX_PIECE_COUNT);

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
		this.sender.write(Arrays.copyOfRange(bytes, offset, offset + length), this::sent);
	}

	@Override
	public void close() throws IOException {
		try {
			acquire(MAX_PIECE_COUNT);
		}
		finally {
			this.sender.close();
		}
	}

	private void acquire(int count) throws IOException {
		try {
			if (!this.pieces.tryAcquire(count, TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("The reader is too slow");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("Interrupted");
		}
		if (this.failure != null) {
			throw new IOException("Not sent", this.failure);
		}
	}

	private void sent(Context context, Throwable cause) {
		if (cause != null) {
			this.failure = cause;
		}
		this.pieces.release();
	}

}
