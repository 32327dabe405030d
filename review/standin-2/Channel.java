import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An open channel of a client to one host, which stays with that host. */
final class Channel implements AutoCloseable {

	private final Socket socket = new Socket();

	private final BufferedReader in;

	Channel(String address, int timeoutMillis) throws IOException {
		String[] parts = address.split(":");
		this.socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
		this.socket.setSoTimeout(timeoutMillis);
		this.in = new BufferedReader(new InputStreamReader(this.socket.getInputStream(), StandardCharsets.US_ASCII));
	}

	/** Sends a request without a body, and returns the status of the answer, or 0 if there is none. */
	int send(String method, String path, long timeoutMillis) {
		try {
			this.socket.getOutputStream()
				.write((method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST_NAME + "\r\nX-Timeout-Ms: " + timeoutMillis
						+ "\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			String statusLine = this.in.readLine();
			int length = 0;
			for (String line = this.in.readLine(); line != null && !line.isEmpty(); line = this.in.readLine()) {
				if (line.toLowerCase().startsWith("content-length:")) {
					length = Integer.parseInt(line.substring(15).strip());
				}
			}
			for (int read = 0; read < length; read++) {
				this.in.read();
			}
			return (statusLine != null) ? Integer.parseInt(statusLine.split(" ")[1]) : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
