package org.masticwick.daemon.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.core.process.HostAddress;

/**
 * A TCP connection that sends text unchanged, valid HTTP or not, and reads HTTP/1.1
 * responses.
 */
final class RawConnection implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Socket socket;

	private final InputStream in;

	RawConnection(HostAddress address) throws IOException {
		this.socket = new Socket(address.ip(), address.port());
		this.socket.setSoTimeout(TIMEOUT_MILLIS);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	static Answer exchange(HostAddress address, String request) throws IOException {
		try (RawConnection connection = new RawConnection(address)) {
			connection.send(request);
			return connection.readAnswer();
		}
	}

	static String putRequest(String path, String headers, String body) {
		return "PUT " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	static String requestWithoutBody(String method, String path) {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
	}

	void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	void shutdownOutput() throws IOException {
		this.socket.shutdownOutput();
	}

	boolean closedByServer() throws IOException {
		return this.in.read() < 0;
	}

	Answer readAnswer() throws IOException {
		return readAnswer(true);
	}

	Answer readAnswer(boolean withBody) throws IOException {
		int status = Integer.parseInt(readLine().split(" ")[1]);
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(); !line.isEmpty(); line = readLine()) {
			String[] parts = line.split(":", 2);
			headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1].strip());
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = this.in.readNBytes(withBody ? length : 0);
		return new Answer(status, headers, new String(body, StandardCharsets.UTF_8));
	}

	private String readLine() throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int value = this.in.read(); value != '\n'; value = this.in.read()) {
			if (value < 0) {
				throw new IOException("Connection closed by the server before the end of the response head");
			}
			bytes.write(value);
		}
		return bytes.toString(StandardCharsets.ISO_8859_1).strip();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * An HTTP response.
	 *
	 * @param status the HTTP status
	 * @param headers the headers by their names in lower case
	 * @param body the body
	 */
	record Answer(int status, Map<String, String> headers, String body) {

		JsonNode json() throws IOException {
			return JSON.readTree(this.body);
		}

		String code() throws IOException {
			return json().path("code").asText();
		}

		String ran() throws IOException {
			return json().path("ran").asText();
		}

	}

}
