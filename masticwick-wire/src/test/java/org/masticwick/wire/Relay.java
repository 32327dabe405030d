package org.masticwick.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.masticwick.core.process.HostAddress;

/**
 * Forwards bytes between a client and a server. The connections that are open can be made
 * unresponsive; connections opened afterwards forward bytes again.
 */
final class Relay implements AutoCloseable {

	/** Small, so that what is not read soon remains at the sender. */
	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

	private final ServerSocket listener;

	private final HostAddress serverAddress;

	Relay(HostAddress serverAddress) throws IOException {
		this.serverAddress = serverAddress;
		this.listener = new ServerSocket();
		this.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.listener.bind(new InetSocketAddress(TestPeer.LOOPBACK, 0), 16);
		startThread(this::accept);
	}

	HostAddress address() {
		return new HostAddress(TestPeer.LOOPBACK, this.listener.getLocalPort());
	}

	void discardBytesOfOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.DISCARD);
	}

	void stopReadingOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.STOP_READING);
	}

	void pauseOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.PAUSED);
	}

	void resumeOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.FORWARD);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Pipe pipe : this.pipes) {
			pipe.source.close();
			pipe.destination.close();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket client = this.listener.accept();
				Socket server = new Socket(this.serverAddress.ip(), this.serverAddress.port());
				open(new Pipe(client, server));
				open(new Pipe(server, client));
			}
		}
		catch (IOException ex) {
			// The listener was closed, so the relay stops accepting connections.
		}
	}

	private void open(Pipe pipe) {
		this.pipes.add(pipe);
		startThread(pipe::forwardBytes);
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		thread.start();
	}

	private enum Mode {

		FORWARD, DISCARD, PAUSED, STOP_READING

	}

	private static final class Pipe {

		private final Socket source;

		private final Socket destination;

		private volatile Mode mode = Mode.FORWARD;

		private Pipe(Socket source, Socket destination) {
			this.source = source;
			this.destination = destination;
		}

		private void forwardBytes() {
			byte[] buffer = new byte[8_192];
			try {
				InputStream in = this.source.getInputStream();
				OutputStream out = this.destination.getOutputStream();
				int count = in.read(buffer);
				while (count >= 0 && this.mode != Mode.STOP_READING) {
					awaitResumption();
					if (this.mode == Mode.FORWARD) {
						out.write(buffer, 0, count);
					}
					count = in.read(buffer);
				}
				closeIfForwarding();
			}
			catch (IOException ex) {
				// One side closed its connection, so there are no more bytes to forward.
			}
		}

		private void awaitResumption() {
			while (this.mode == Mode.PAUSED) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
			}
		}

		private void closeIfForwarding() throws IOException {
			if (this.mode == Mode.FORWARD) {
				this.destination.close();
			}
		}

	}

}
