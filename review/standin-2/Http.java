import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** HTTP for the stand-ins: servers on loopback addresses, and the calls of clients. */
final class Http {

	private static final ExecutorService THREADS = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private Http() {
	}

	/** A call that a stand-in has received. */
	record Call(HttpExchange exchange, String path, Map<String, String> query, byte[] body) {

		Map<String, Object> json() {
			return Json.object(new String(this.body, StandardCharsets.UTF_8));
		}

		void answer(int status, String json) {
			answer(status, json.getBytes(StandardCharsets.UTF_8));
		}

		void answer(int status, byte[] bytes) {
			try (this.exchange) {
				this.exchange.getResponseHeaders().set("Content-Type", "application/json");
				this.exchange.sendResponseHeaders(status, (bytes.length == 0) ? -1 : bytes.length);
				if (bytes.length > 0) {
					this.exchange.getResponseBody().write(bytes);
				}
			}
			catch (IOException ex) {
				// The caller has closed the connection.
			}
		}

	}

	interface Handler {

		void handle(Call call) throws Exception;

	}

	static HttpServer listen(String ip, int port, Handler handler) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 512);
		server.setExecutor(THREADS);
		server.createContext("/", (exchange) -> {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = new HashMap<>();
			String raw = exchange.getRequestURI().getQuery();
			if (raw != null) {
				for (String pair : raw.split("&")) {
					int equals = pair.indexOf('=');
					query.put(pair.substring(0, equals), pair.substring(equals + 1));
				}
			}
			try {
				handler.handle(new Call(exchange, exchange.getRequestURI().getPath(), query, body));
			}
			catch (Exception ex) {
				Record.line("stand-in failed: " + ex);
				exchange.close();
			}
		});
		server.start();
		return server;
	}

	/** The answer to a client; status 0 stands for no answer. */
	record Answer(int status, String body) {
	}

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(1_000))
		.build();

	static Answer send(String method, String address, String path, String host, String body, long timeoutMillis) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.header("Host", host)
			.header("Content-Type", "application/json")
			.header("X-Timeout-Ms", String.valueOf(timeoutMillis))
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
			return new Answer(response.statusCode(), response.body());
		}
		catch (IOException | InterruptedException ex) {
			return new Answer(0, ex.getClass().getSimpleName());
		}
	}

}
