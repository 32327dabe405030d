package org.masticwick.standin.process;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.standin.connection.Json;

/**
 * Keeps workers in the platform's list of hosts by renewing their leases.
 */
final class LeaseRenewer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LeaseRenewer.class);

	private static final long LEASE_MILLIS = 3000;

	private static final long RENEWAL_MILLIS = 1000;

	private static final int MAX_CALL_COUNT = 4;

	private static final MediaType JSON = MediaType.get("application/json");

	private final HostAddress platform;

	private final String domain;

	private final OkHttpClient client;

	LeaseRenewer(HostAddress platform, String domain) {
		this.platform = platform;
		this.domain = domain;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequestsPerHost(MAX_CALL_COUNT);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.callTimeout(LEASE_MILLIS, TimeUnit.MILLISECONDS)
			.build();
	}

	/**
	 * Renews the leases of workers from now on, spread over the renewal interval.
	 * @param workers the workers
	 * @param group the threads that the timers run on
	 */
	void scheduleRenewals(List<Worker> workers, EventLoopGroup group) {
		workers.forEach(this::renew);
		IntStream.range(0, workers.size())
			.forEach((index) -> group.scheduleAtFixedRate(() -> renew(workers.get(index)),
					RENEWAL_MILLIS + RENEWAL_MILLIS * index / workers.size(), RENEWAL_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Renews the lease of one worker, unless it is stopped.
	 * @param worker the worker
	 */
	void renew(Worker worker) {
		String state = worker.state();
		if (state.equals("stopped")) {
			return;
		}
		byte[] lease = Json.write(new HostList.HostLease("endpoint", this.domain, state, LEASE_MILLIS));
		Request request = new Request.Builder().url("http://" + this.platform + "/hosts/" + worker.address())
			.put(RequestBody.create(lease, JSON))
			.build();
		this.client.newCall(request).enqueue(new Renewal(worker.address()));
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdownNow();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Ends one renewal; the next one makes up for a failure.
	 *
	 * @param worker the address of the worker
	 */
	private record Renewal(HostAddress worker) implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			logger.debug("Lease of {} not renewed", this.worker, ex);
		}

		@Override
		public void onResponse(Call call, Response response) {
			response.close();
		}

	}

}
