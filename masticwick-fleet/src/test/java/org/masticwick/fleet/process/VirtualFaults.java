package org.masticwick.fleet.process;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;

/**
 * Causes random faults of a simulated site, most of them at an owner and several of them
 * close in time.
 */
final class VirtualFaults {

	private static final int MAX_FAULTS_AT_ONCE = 4;

	private static final int SPREAD_MILLIS = 900;

	private static final int MIN_QUIET_MILLIS = 800;

	private static final int QUIET_SPREAD_MILLIS = 4_000;

	private static final long STOP_CHECK_MILLIS = 200;

	private final VirtualSite site;

	private final VirtualCallers callers;

	private final Random random;

	private final Kinds kinds;

	private boolean ended;

	VirtualFaults(VirtualSite site, VirtualCallers callers) {
		this(site, callers, Kinds.ALL);
	}

	/**
	 * Creates the faults of a site.
	 * @param site the site
	 * @param callers its callers
	 * @param kinds what may fail
	 */
	VirtualFaults(VirtualSite site, VirtualCallers callers, Kinds kinds) {
		this.site = site;
		this.kinds = kinds;
		this.callers = callers;
		this.random = site.random();
	}

	/**
	 * Causes faults from now on.
	 */
	void start() {
		if (this.ended) {
			return;
		}
		String owner = this.site.owner(pick(this.site.domains()));
		int count = 1 + this.random.nextInt(MAX_FAULTS_AT_ONCE);
		IntStream.range(0, count)
			.forEach((number) -> this.site.time()
				.afterMillis(this.random.nextInt(SPREAD_MILLIS), () -> causeFault(owner)));
		this.site.time().afterMillis(MIN_QUIET_MILLIS + this.random.nextInt(QUIET_SPREAD_MILLIS), this::start);
	}

	/**
	 * Causes no further faults.
	 */
	void end() {
		this.ended = true;
	}

	private <T> T pick(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

	private int millis(int min, int max) {
		return min + this.random.nextInt(max - min);
	}

	private void causeFault(String owner) {
		String name = (this.random.nextInt(10) < 7) ? owner : pick(this.site.hostNames());
		if (!this.site.host(name).isRunning()) {
			return;
		}
		switch (this.random.nextInt(this.kinds.count)) {
			case 0 -> kill(name);
			case 1 -> pause(name);
			case 2 -> stop(name);
			case 3 -> cutDomain(name);
			case 4 -> cutHosts(name, pick(this.site.hostNames()), millis(200, 3_000));
			case 5 -> silenceLog(name);
			case 6 -> slowLog();
			case 7, 8 -> resetConnections(name);
			case 9 -> loseCalls(pick(this.site.endpoints().ids()));
			case 10 -> restartEndpoint(pick(this.site.endpoints().ids()));
			default -> cutEndpoints(name);
		}
	}

	private void kill(String name) {
		this.site.trace().fault(name, "is killed");
		VirtualSite.Host host = this.site.host(name);
		this.site.kill(name);
		this.callers.hostEnded(name);
		this.site.time().afterMillis(millis(200, 4_000), () -> startAgain(name, host));
	}

	private void startAgain(String name, VirtualSite.Host previous) {
		if (this.site.host(name) == previous) {
			this.site.trace().fault(name, "starts again");
			this.site.startHost(name);
		}
	}

	private void pause(String name) {
		int pauseMillis = millis(300, 4_000);
		this.site.trace().fault(name, "is paused for " + pauseMillis + " ms");
		this.site.host(name).eventLoop().pause(pauseMillis);
	}

	private void stop(String name) {
		this.site.trace().fault(name, "is stopped");
		VirtualSite.Host host = this.site.host(name);
		host.process().stopGracefully();
		awaitStop(name, host);
	}

	private void awaitStop(String name, VirtualSite.Host host) {
		if (this.site.host(name) != host) {
			return;
		}
		if (host.isRunning()) {
			this.site.time().afterMillis(STOP_CHECK_MILLIS, () -> awaitStop(name, host));
			return;
		}
		this.site.network().resetConnections(host.address(), 1);
		this.callers.hostEnded(name);
		this.site.time().afterMillis(millis(200, 2_000), () -> startAgain(name, host));
	}

	private void cutDomain(String name) {
		int cutMillis = millis(200, 4_000);
		String domain = VirtualSite.domain(name);
		this.site.hostNames()
			.stream()
			.filter((other) -> !VirtualSite.domain(other).equals(domain))
			.forEach((other) -> this.site.hostNames()
				.stream()
				.filter((inside) -> VirtualSite.domain(inside).equals(domain))
				.forEach((inside) -> cutHosts(inside, other, cutMillis)));
	}

	private void cutHosts(String name, String other, int cutMillis) {
		HostAddress address = this.site.host(name).address();
		HostAddress otherAddress = this.site.host(other).address();
		boolean oneWay = this.random.nextInt(4) == 0;
		this.site.trace()
			.fault(name, "is cut off from " + other + (oneWay ? ", one way," : "") + " for " + cutMillis + " ms");
		this.site.network().cut(address, otherAddress, cutMillis);
		if (!oneWay) {
			this.site.network().cut(otherAddress, address, cutMillis);
		}
	}

	private void silenceLog(String name) {
		int silenceMillis = millis(300, 4_000);
		this.site.trace().fault(name, "gets no answer of the log for " + silenceMillis + " ms");
		this.site.hostsLog().silence(name, silenceMillis);
	}

	private void slowLog() {
		int slowMillis = millis(500, 4_000);
		this.site.trace().fault("log", "is slow for " + slowMillis + " ms");
		this.site.hostNames().forEach((name) -> this.site.hostsLog().slow(name, slowMillis));
	}

	private void resetConnections(String name) {
		double share = 0.5 + this.random.nextDouble() / 2;
		IntStream.range(0, 6)
			.forEach((number) -> this.site.time().afterMillis(this.random.nextInt(25), this.callers::submitNewJob));
		this.site.time().afterMillis(25, () -> {
			List<String> resetNames = this.random.nextBoolean() ? List.of(name) : this.site.hostNames();
			this.site.trace().fault(name, "connections are reset of " + resetNames);
			resetNames.forEach((resetName) -> {
				this.site.network().resetConnections(this.site.host(resetName).address(), share);
				this.callers.resetConnections(resetName, share);
			});
		});
	}

	private void loseCalls(String endpointId) {
		int lossMillis = millis(200, 3_000);
		VirtualEndpoints.Loss loss = new VirtualEndpoints.Loss(0.2 + 0.8 * this.random.nextDouble(),
				this.random.nextDouble(), this.random.nextBoolean(),
				this.site.time().nowMicros() + lossMillis * 1_000L);
		this.site.trace().fault(endpointId, "loses calls for " + lossMillis + " ms: " + loss);
		this.site.endpoints().lose(endpointId, loss);
	}

	private void restartEndpoint(String endpointId) {
		if (this.random.nextBoolean()) {
			loseCalls(endpointId);
		}
		int downMillis = millis(100, 2_000);
		this.site.trace().fault(endpointId, "is restarted after " + downMillis + " ms");
		this.site.endpoints().find(endpointId).restart(downMillis, this.random.nextInt(2_000_000));
		if (this.random.nextInt(3) == 0) {
			this.site.unlistEndpoint(endpointId);
		}
		this.site.time().afterMillis(downMillis + millis(1, 800), () -> this.site.listEndpoint(endpointId));
	}

	private void cutEndpoints(String name) {
		int cutMillis = millis(200, 4_000);
		double share = this.random.nextDouble();
		this.site.endpoints().ids().stream().filter((id) -> this.random.nextDouble() < share).forEach((id) -> {
			this.site.trace().fault(name, "does not reach " + id + " for " + cutMillis + " ms");
			this.site.endpoints().cut(name, id, cutMillis);
		});
	}

	/**
	 * What may fail. Each constant includes the faults of the previous one.
	 */
	enum Kinds {

		/** Hosts are killed, paused or stopped as planned. */
		PROCESSES(3),

		/** Failure domains are cut off from each other. */
		PROCESSES_AND_DOMAINS(4),

		/** Paths between hosts, the log, connections and endpoints fail. */
		ALL(12);

		private final int count;

		Kinds(int count) {
			this.count = count;
		}

	}

}
