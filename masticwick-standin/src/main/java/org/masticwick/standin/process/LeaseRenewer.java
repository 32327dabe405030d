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
 * Keeps workers on the host list of the platform by renewing their leases. A renewal also
 * reports a changed state of the worker.
 */
final class LeaseRenewer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LeaseRenewer.class);

	private static final long LEASE_MILLIS = 3000;

	private static final long RENEWAL_MILLIS = 1000;

	private static final int MAX_CONCURRENT_CALLS = 4;

	private static final MediaType JSON = MediaType.get("application/json");

	private final HostAddress platform;

	private final String domain;

	private final OkHttpClient client;

	LeaseRenewer(HostAddress platform, String domain) {
		this.platform = platform;
		this.domain = domain;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.callTimeout(LEASE_MILLIS, TimeUnit.MILLISECONDS)
			.build();
	}

	/**
	 * Acquires a lease for each worker now and renews it periodically from then on, the
	 * workers spread evenly over the renewal interval.
	 * @param workers the workers
	 * @param group the threads that run the timers
	 */
	void scheduleRenewals(List<Worker> workers, EventLoopGroup group) {
		workers.forEach(this::renew);
		IntStream.range(0, workers.size())
			.forEach((index) -> group.scheduleAtFixedRate(() -> renew(workers.get(index)),
					RENEWAL_MILLIS + RENEWAL_MILLIS * index / workers.size(), RENEWAL_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Renews the lease of one worker. A stopped worker is skipped, so that its lease
	 * expires like that of a dead host.
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
		this.client.newCall(request).enqueue(new RenewalCallback(worker.address()));
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdownNow();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Handles the completion of a renewal. A failed one, or one that gets an error
	 * status, is not repeated: the next periodic renewal makes up for it.
	 *
	 * @param worker the address of the worker
	 */
	private record RenewalCallback(HostAddress worker) implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			logger.debug("Renewal of the lease of worker {} failed; the next periodic renewal tries again", this.worker,
					ex);
		}

		@Override
		public void onResponse(Call call, Response response) {
			response.close();
		}

	}

}
