package org.masticwick.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.LogRecord;

/**
 * Reaches the platform over HTTP. No call is repeated by itself. After a call that failed
 * on the way, idle connections are dropped, since they may have gone silent too.
 */
public final class HttpPlatformClient implements PlatformClient, AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final MediaType JSON_TYPE = MediaType.get("application/json");

	private static final int STATUS_NOT_MODIFIED = 304;

	private static final int STATUS_GONE = 410;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final int STATUS_FIRST_ERROR = 400;

	private static final int STATUS_FIRST_SERVER_ERROR = 500;

	private final HttpUrl baseUrl;

	private final HttpPlatformSettings settings;

	private final OkHttpClient http;

	private volatile HostPage knownHosts = new HostPage("", List.of());

	/**
	 * Creates a client.
	 * @param address where the platform listens
	 * @param settings the bounds of calls
	 */
	public HttpPlatformClient(HostAddress address, HttpPlatformSettings settings) {
		this.baseUrl = new HttpUrl.Builder().scheme("http").host(address.ip()).port(address.port()).build();
		this.settings = settings;
		this.http = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(settings.connectTimeout())
			.readTimeout(Duration.ZERO)
			.writeTimeout(settings.callTimeout())
			.build();
	}

	@Override
	public AppendResult append(String stream, List<String> records) {
		ObjectNode body = JSON.createObjectNode();
		ArrayNode values = body.putArray("records");
		records.forEach(values::add);
		Request request = request(url("log", stream)).post(json(body)).build();
		JsonNode answer = send(request, Duration.ZERO);
		return new AppendResult(number(answer, "first_offset"), number(answer, "end_offset"));
	}

	@Override
	public LogPage read(String stream, long fromOffset, int limit, Duration wait) {
		HttpUrl url = url("log", stream).newBuilder()
			.addQueryParameter("from", Long.toString(fromOffset))
			.addQueryParameter("limit", Integer.toString(limit))
			.addQueryParameter("wait_ms", Long.toString(wait.toMillis()))
			.build();
		JsonNode answer = send(request(url).get().build(), wait);
		List<LogRecord> records = new ArrayList<>();
		answer.path("records")
			.forEach((node) -> records.add(new LogRecord(number(node, "offset"), node.path("value").asText())));
		checkOffsets(records, fromOffset);
		return new LogPage(number(answer, "begin_offset"), number(answer, "end_offset"), records);
	}

	@Override
	public List<PlatformHost> hosts() {
		HostPage known = this.knownHosts;
		Request.Builder request = request(url("hosts")).get();
		if (!known.tag().isEmpty()) {
			request.header("If-None-Match", known.tag());
		}
		HostPage page = send(request.build(), Duration.ZERO, (asked, response) -> readHosts(asked, response, known));
		this.knownHosts = page;
		return page.hosts();
	}

	private HostPage readHosts(Request request, Response response, HostPage known) throws IOException {
		if (response.code() == STATUS_NOT_MODIFIED) {
			return known;
		}
		JsonNode answer = read(request, response);
		List<PlatformHost> hosts = new ArrayList<>();
		answer.path("hosts").forEach((node) -> HostJson.read(node).ifPresent(hosts::add));
		return new HostPage(response.header("ETag", ""), List.copyOf(hosts));
	}

	@Override
	public void register(PlatformHost host, Duration lease) {
		RequestBody body = json(HostJson.write(host, lease));
		send(request(url("hosts", host.address().toString())).put(body).build(), Duration.ZERO);
	}

	@Override
	public void deregister(HostAddress address) {
		send(request(url("hosts", address.toString())).delete().build(), Duration.ZERO);
	}

	/**
	 * Ends running calls and drops all connections.
	 */
	@Override
	public void close() {
		this.http.dispatcher().cancelAll();
		this.http.connectionPool().evictAll();
		this.http.dispatcher().executorService().shutdown();
	}

	private static void checkOffsets(List<LogRecord> records, long fromOffset) {
		for (int i = 0; i < records.size(); i++) {
			if (records.get(i).offset() != fromOffset + i) {
				throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
						"The platform sent the record at " + records.get(i).offset() + " out of order", false, null);
			}
		}
	}

	private HttpUrl url(String... segments) {
		HttpUrl.Builder url = this.baseUrl.newBuilder();
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		return url.build();
	}

	private static Request.Builder request(HttpUrl url) {
		return new Request.Builder().url(url);
	}

	private static RequestBody json(ObjectNode body) {
		return RequestBody.create(body.toString(), JSON_TYPE);
	}

	private JsonNode send(Request request, Duration wait) {
		return send(request, wait, this::read);
	}

	private <T> T send(Request request, Duration wait, AnswerReader<T> reader) {
		Call call = this.http.newCall(request);
		call.timeout().timeout(this.settings.callTimeout().plus(wait).toNanos(), TimeUnit.NANOSECONDS);
		try (Response response = call.execute()) {
			return reader.read(request, response);
		}
		catch (IOException ex) {
			this.http.connectionPool().evictAll();
			boolean unsent = ex instanceof ConnectException;
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, describe(request) + " failed: " + ex,
					!unsent && changes(request), ex);
		}
	}

	private JsonNode read(Request request, Response response) throws IOException {
		String body = readBody(request, response.body().source());
		if (response.code() == STATUS_GONE) {
			JsonNode answer = parse(request, body);
			throw new RecordsExpiredException(number(answer, "begin_offset"), number(answer, "end_offset"));
		}
		if (response.code() >= STATUS_FIRST_ERROR) {
			ErrorCode code = (response.code() < STATUS_FIRST_SERVER_ERROR) ? ErrorCode.INVALID_REQUEST
					: ErrorCode.PLATFORM_UNAVAILABLE;
			boolean unknown = response.code() > STATUS_UNAVAILABLE || response.code() == STATUS_FIRST_SERVER_ERROR;
			throw new PlatformException(code, describe(request) + " answered " + response.code(),
					unknown && changes(request), null);
		}
		return (body.isEmpty()) ? JSON.missingNode() : parse(request, body);
	}

	private String readBody(Request request, BufferedSource source) throws IOException {
		if (source.request(this.settings.maxBodyBytes() + 1)) {
			throw malformed(request, "an answer above " + this.settings.maxBodyBytes() + " bytes", null);
		}
		return source.readUtf8();
	}

	private static JsonNode parse(Request request, String body) {
		try {
			return JSON.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw malformed(request, "an answer that is not JSON", ex);
		}
	}

	private static long number(JsonNode node, String key) {
		JsonNode value = node.path(key);
		if (!value.isIntegralNumber()) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "The platform's answer lacks " + key, true,
					null);
		}
		return value.longValue();
	}

	private static PlatformException malformed(Request request, String what, Exception cause) {
		return new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, describe(request) + " got " + what,
				changes(request), cause);
	}

	private static boolean changes(Request request) {
		return !"GET".equals(request.method());
	}

	private static String describe(Request request) {
		return request.method() + " " + request.url().encodedPath();
	}

	/**
	 * Turns an answer into what it tells.
	 *
	 * @param <T> the type of what it tells
	 */
	private interface AnswerReader<T> {

		T read(Request request, Response response) throws IOException;

	}

	/**
	 * Holds the list of hosts with the tag under which the platform knows it.
	 *
	 * @param tag the entity tag; empty if the platform gives none
	 * @param hosts the hosts
	 */
	private record HostPage(String tag, List<PlatformHost> hosts) {

	}

}
