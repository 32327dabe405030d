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
 * Accesses the platform over HTTP. Failed calls are not retried. After a call that failed
 * in transport, idle connections are closed, since they may have become unresponsive too.
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

	private volatile CachedHosts cachedHosts = new CachedHosts("", List.of());

	/**
	 * Creates a client.
	 * @param address the address on which the platform listens
	 * @param settings the timeouts and limits of calls
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
		JsonNode response = send(request, Duration.ZERO);
		return new AppendResult(requireInteger(response, "first_offset"), requireInteger(response, "end_offset"));
	}

	@Override
	public LogPage read(String stream, long fromOffset, int limit, Duration wait) {
		HttpUrl url = url("log", stream).newBuilder()
			.addQueryParameter("from", Long.toString(fromOffset))
			.addQueryParameter("limit", Integer.toString(limit))
			.addQueryParameter("wait_ms", Long.toString(wait.toMillis()))
			.build();
		JsonNode responseBody = send(request(url).get().build(), wait);
		List<LogRecord> records = new ArrayList<>();
		responseBody.path("records")
			.forEach((node) -> records.add(new LogRecord(requireInteger(node, "offset"), node.path("value").asText())));
		checkOffsets(records, fromOffset);
		return new LogPage(requireInteger(responseBody, "begin_offset"), requireInteger(responseBody, "end_offset"),
				records);
	}

	@Override
	public List<PlatformHost> hosts() {
		CachedHosts cached = this.cachedHosts;
		Request.Builder request = request(url("hosts")).get();
		if (!cached.entityTag().isEmpty()) {
			request.header("If-None-Match", cached.entityTag());
		}
		CachedHosts fetched = send(request.build(), Duration.ZERO,
				(sentRequest, response) -> readHosts(sentRequest, response, cached));
		this.cachedHosts = fetched;
		return fetched.hosts();
	}

	private CachedHosts readHosts(Request request, Response response, CachedHosts cached) throws IOException {
		if (response.code() == STATUS_NOT_MODIFIED) {
			return cached;
		}
		JsonNode responseBody = read(request, response);
		List<PlatformHost> hosts = new ArrayList<>();
		responseBody.path("hosts").forEach((node) -> HostJson.read(node).ifPresent(hosts::add));
		return new CachedHosts(response.header("ETag", ""), List.copyOf(hosts));
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
	 * Cancels running calls and closes all connections.
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
						"The platform's reply has the record at offset " + records.get(i).offset() + " out of order",
						false, null);
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

	private <T> T send(Request request, Duration wait, ResponseReader<T> reader) {
		Call call = this.http.newCall(request);
		call.timeout().timeout(this.settings.callTimeout().plus(wait).toNanos(), TimeUnit.NANOSECONDS);
		try (Response response = call.execute()) {
			return reader.read(request, response);
		}
		catch (IOException ex) {
			this.http.connectionPool().evictAll();
			boolean notSent = ex instanceof ConnectException;
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, requestLine(request) + " failed: " + ex,
					!notSent && isWrite(request), ex);
		}
	}

	private JsonNode read(Request request, Response response) throws IOException {
		String body = readBody(request, response.body().source());
		if (response.code() == STATUS_GONE) {
			JsonNode responseBody = parse(request, body);
			throw new RecordsExpiredException(requireInteger(responseBody, "begin_offset"),
					requireInteger(responseBody, "end_offset"));
		}
		if (response.code() >= STATUS_FIRST_ERROR) {
			ErrorCode code = (response.code() < STATUS_FIRST_SERVER_ERROR) ? ErrorCode.INVALID_REQUEST
					: ErrorCode.PLATFORM_UNAVAILABLE;
			boolean outcomeUnknown = response.code() > STATUS_UNAVAILABLE
					|| response.code() == STATUS_FIRST_SERVER_ERROR;
			throw new PlatformException(code, requestLine(request) + " failed with status " + response.code(),
					outcomeUnknown && isWrite(request), null);
		}
		return (body.isEmpty()) ? JSON.missingNode() : parse(request, body);
	}

	private String readBody(Request request, BufferedSource source) throws IOException {
		if (source.request(this.settings.maxBodyBytes() + 1)) {
			throw malformedResponse(request, "a response above " + this.settings.maxBodyBytes() + " bytes", null);
		}
		return source.readUtf8();
	}

	private static JsonNode parse(Request request, String body) {
		try {
			return JSON.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw malformedResponse(request, "a response that is not JSON", ex);
		}
	}

	private static long requireInteger(JsonNode node, String key) {
		JsonNode value = node.path(key);
		if (!value.isIntegralNumber()) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
					"The platform's response has no integer field " + key, true, null);
		}
		return value.longValue();
	}

	private static PlatformException malformedResponse(Request request, String defect, Exception cause) {
		return new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, requestLine(request) + " received " + defect,
				isWrite(request), cause);
	}

	private static boolean isWrite(Request request) {
		return !"GET".equals(request.method());
	}

	private static String requestLine(Request request) {
		return request.method() + " " + request.url().encodedPath();
	}

	/**
	 * Converts a response into the result of a call.
	 *
	 * @param <T> the type of the result
	 */
	private interface ResponseReader<T> {

		T read(Request request, Response response) throws IOException;

	}

	/**
	 * The last list of hosts that was received, with its entity tag, which lets the
	 * platform reply that the list has not changed.
	 *
	 * @param entityTag the entity tag; empty if the platform sent none
	 * @param hosts the hosts
	 */
	private record CachedHosts(String entityTag, List<PlatformHost> hosts) {

	}

}
