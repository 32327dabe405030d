package org.masticwick.proof.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Holds the payload bytes of the open TCP connections of all processes, as counted by the
 * kernel.
 *
 * @param bytesByPorts the payload bytes by local port, remote port and process
 */
record SocketBytes(Map<Ports, Bytes> bytesByPorts) {

	private static final Pattern CONNECTION_LINE = Pattern
		.compile("ESTAB\\s+\\d+\\s+\\d+\\s+\\S*?:(\\d+)\\s+\\S*?:(\\d+)\\s.*pid=(\\d+)");

	private static final Pattern SENT = Pattern.compile("bytes_sent:(\\d+)");

	private static final Pattern RECEIVED = Pattern.compile("bytes_received:(\\d+)");

	/**
	 * Reads the byte counts of all open connections with {@code ss}.
	 * @return the byte counts
	 * @throws UncheckedIOException if {@code ss} can't be run
	 */
	static SocketBytes read() {
		Map<Ports, Bytes> bytesByPorts = new HashMap<>();
		Ports current = null;
		for (String line : runCommand(List.of("ss", "-tinHp"))) {
			Matcher start = CONNECTION_LINE.matcher(line);
			if (start.find()) {
				current = new Ports(Integer.parseInt(start.group(1)), Integer.parseInt(start.group(2)),
						Long.parseLong(start.group(3)));
			}
			else if (line.startsWith("ESTAB")) {
				current = null;
			}
			if (current != null && line.contains("bytes_")) {
				bytesByPorts.put(current, new Bytes(parseCount(SENT, line), parseCount(RECEIVED, line)));
			}
		}
		return new SocketBytes(bytesByPorts);
	}

	/**
	 * Sums the bytes that a process has sent and received since an earlier reading, over
	 * the connections that are open now.
	 * @param pid the process id
	 * @param earlier the earlier reading
	 * @param excludedLocalPorts local ports whose connections are excluded
	 * @param remotePorts the only remote ports whose connections are included; empty for
	 * all
	 * @return the sums
	 */
	Bytes since(long pid, SocketBytes earlier, Set<Integer> excludedLocalPorts, Set<Integer> remotePorts) {
		return this.bytesByPorts.entrySet()
			.stream()
			.filter((socket) -> socket.getKey().pid() == pid)
			.filter((socket) -> !excludedLocalPorts.contains(socket.getKey().local()))
			.filter((socket) -> remotePorts.isEmpty() || remotePorts.contains(socket.getKey().remote()))
			.map((socket) -> socket.getValue()
				.minus(earlier.bytesByPorts().getOrDefault(socket.getKey(), new Bytes(0, 0))))
			.reduce(new Bytes(0, 0), Bytes::plus);
	}

	private static long parseCount(Pattern pattern, String line) {
		Matcher matcher = pattern.matcher(line);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
	}

	private static List<String> runCommand(List<String> command) {
		try {
			Process process = new ProcessBuilder(command).start();
			String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			return text.lines().collect(Collectors.toList());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Identifies one process's side of a connection.
	 *
	 * @param local the local port
	 * @param remote the remote port
	 * @param pid the process id
	 */
	record Ports(int local, int remote, long pid) {

	}

	/**
	 * Holds byte counts.
	 *
	 * @param sent the number of bytes sent
	 * @param received the number of bytes received
	 */
	record Bytes(long sent, long received) {

		Bytes plus(Bytes other) {
			return new Bytes(this.sent + other.sent, this.received + other.received);
		}

		Bytes minus(Bytes other) {
			return new Bytes(this.sent - other.sent, this.received - other.received);
		}

	}

}
