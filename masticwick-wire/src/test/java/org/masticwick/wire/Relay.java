package org.masticwick.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.masticwick.core.process.HostAddress;

/**
 * Passes bytes between a client and a server until the connections that are open are told
 * to go silent; new connections work again.
 */
final class Relay implements AutoCloseable {

	private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

	private final ServerSocket listener;

	private final HostAddress target;

	Relay(HostAddress target) throws IOException {
		this.target = target;
		this.listener = new ServerSocket(0, 16, InetAddress.getByName(TestPeer.LOOPBACK));
		start(this::accept);
	}

	HostAddress address() {
		return new HostAddress(TestPeer.LOOPBACK, this.listener.getLocalPort());
	}

	void silenceOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.SWALLOW);
	}

	void stopReadingOpenConnections() {
		this.pipes.forEach((pipe) -> pipe.mode = Mode.STOP);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Pipe pipe : this.pipes) {
			pipe.from.close();
			pipe.to.close();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket client = this.listener.accept();
				Socket server = new Socket(this.target.ip(), this.target.port());
				open(new Pipe(client, server));
				open(new Pipe(server, client));
			}
		}
		catch (IOException ex) {
			// The relay was closed.
		}
	}

	private void open(Pipe pipe) {
		this.pipes.add(pipe);
		start(pipe::run);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		thread.start();
	}

	private enum Mode {

		PASS, SWALLOW, STOP

	}

	private static final class Pipe {

		private final Socket from;

		private final Socket to;

		private volatile Mode mode = Mode.PASS;

		private Pipe(Socket from, Socket to) {
			this.from = from;
			this.to = to;
		}

		private void run() {
			byte[] buffer = new byte[8_192];
			try {
				InputStream in = this.from.getInputStream();
				OutputStream out = this.to.getOutputStream();
				int count = in.read(buffer);
				while (count >= 0 && this.mode != Mode.STOP) {
					if (this.mode == Mode.PASS) {
						out.write(buffer, 0, count);
					}
					count = in.read(buffer);
				}
				closeUnlessStopped();
			}
			catch (IOException ex) {
				// One side closed its connection.
			}
		}

		private void closeUnlessStopped() throws IOException {
			if (this.mode == Mode.PASS) {
				this.to.close();
			}
		}

	}

}
