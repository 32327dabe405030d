package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads and writes the messages of an HTTP/1.1 connection, and makes single calls.
 */
final class HttpConnection implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final Socket socket;

	private final InputStream in;

	private final OutputStream out;

	HttpConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(socket.getInputStream());
		this.out = socket.getOutputStream();
	}

	/**
	 * Makes a call on a new connection.
	 * @param ip the address of the server
	 * @param port the port of the server
	 * @param head the request line and the headers, without those of the body
	 * @param body the body
	 * @param timeoutMillis how long to wait for the answer, in milliseconds
	 * @return the answer, or {@link HttpResponse#UNANSWERED}
	 */
	static HttpResponse call(String ip, int port, String head, String body, int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MILLIS);
			socket.setSoTimeout(timeoutMillis);
			HttpConnection connection = new HttpConnection(socket);
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			connection.write(head + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n", bytes);
			return connection.readResponse();
		}
		catch (IOException ex) {
			return HttpResponse.UNANSWERED;
		}
	}

	private void write(String head, byte[] body) throws IOException {
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
		message.writeBytes(body);
		this.out.write(message.toByteArray());
		this.out.flush();
	}

	void writeResponse(HttpResponse response) throws IOException {
		write("HTTP/1.1 " + response.status() + " Status\r\nContent-Type: application/json\r\nContent-Length: "
				+ response.body().length + "\r\n\r\n", response.body());
	}

	private HttpResponse readResponse() throws IOException {
		String statusLine = readLine();
		Map<String, String> headers = readHeaders();
		return new HttpResponse(Integer.parseInt(statusLine.split(" ")[1]), readBody(headers));
	}

	/**
	 * Reads the next request.
	 * @return the request
	 * @throws IOException if the connection has ended
	 */
	HttpRequest readRequest() throws IOException {
		String[] requestLine = readLine().split(" ");
		Map<String, String> headers = readHeaders();
		int queryStart = requestLine[1].indexOf('?');
		String path = (queryStart < 0) ? requestLine[1] : requestLine[1].substring(0, queryStart);
		String query = (queryStart < 0) ? "" : requestLine[1].substring(queryStart + 1);
		return new HttpRequest(requestLine[0], path, HttpRequest.parseQuery(query), headers, readBody(headers));
	}

	private Map<String, String> readHeaders() throws IOException {
		Map<String, String> headers = new HashMap<>();
		for (String line = readLine(); !line.isEmpty(); line = readLine()) {
			int separator = line.indexOf(':');
			headers.put(line.substring(0, separator).toLowerCase(Locale.ROOT), line.substring(separator + 1).strip());
		}
		return headers;
	}

	private byte[] readBody(Map<String, String> headers) throws IOException {
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = this.in.readNBytes(length);
		if (body.length < length) {
			throw new EOFException();
		}
		return body;
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
			if (next < 0) {
				throw new EOFException();
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
