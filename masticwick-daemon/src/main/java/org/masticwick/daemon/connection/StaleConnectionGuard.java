package org.masticwick.daemon.connection;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Prevents requests on a kept-alive connection that the endpoint has closed. OkHttp
 * checks for this only after ten idle seconds. Before that, it would write the request,
 * and the client could not tell whether the endpoint received it.
 */
final class StaleConnectionGuard implements Interceptor {

	private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int PROBE_TIMEOUT_MILLIS = 1;

	private final Map<Connection, Long> lastUseNanos = Collections.synchronizedMap(new WeakHashMap<>());

	@Override
	public Response intercept(Chain chain) throws IOException {
		Connection connection = chain.connection();
		Long previousUseNanos = this.lastUseNanos.get(connection);
		if (previousUseNanos != null && System.nanoTime() - previousUseNanos > MIN_IDLE_NANOS
				&& isClosedByEndpoint(connection.socket())) {
			connection.socket().close();
			throw new IOException("The endpoint closed the idle connection before the request was written");
		}
		try {
			return chain.proceed(chain.request());
		}
		finally {
			this.lastUseNanos.put(connection, System.nanoTime());
		}
	}

	private static boolean isClosedByEndpoint(Socket socket) throws IOException {
		int originalTimeoutMillis = socket.getSoTimeout();
		socket.setSoTimeout(PROBE_TIMEOUT_MILLIS);
		try {
			socket.getInputStream().read();
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
		finally {
			socket.setSoTimeout(originalTimeoutMillis);
		}
	}

}
