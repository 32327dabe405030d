package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The HTTP server of one stand-in, with a thread for each connection.
 */
final class HttpServer {

	private static final int BACKLOG = 512;

	private final Function<HttpRequest, HttpResponse> handler;

	private final ServerSocket server;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	/**
	 * Listens on a free port.
	 * @param ip the loopback address
	 * @param handler answers a request; it may wait, and may leave the call unanswered
	 */
	HttpServer(String ip, Function<HttpRequest, HttpResponse> handler) throws IOException {
		this.handler = handler;
		this.server = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
		start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	private static void start(Runnable action) {
		Thread thread = new Thread(action);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				this.connections.add(socket);
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (HttpConnection connection = new HttpConnection(socket)) {
			while (true) {
				HttpResponse response = this.handler.apply(connection.readRequest());
				if (response == HttpResponse.RESET) {
					socket.setSoLinger(true, 0);
					return;
				}
				if (response.status() != HttpResponse.NONE) {
					connection.writeResponse(response);
				}
			}
		}
		catch (IOException ex) {
			// The peer has ended the connection.
		}
		finally {
			this.connections.remove(socket);
		}
	}

	/**
	 * Resets all connections, as the crash of a process does. New ones are accepted.
	 */
	void resetConnections() {
		for (Socket socket : this.connections) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}
	}

}
