package org.masticwick.core.version;

import java.util.Set;

import org.masticwick.core.process.HostAddress;

/**
 * Creates specs, log records and states for tests.
 */
final class SiteFixtures {

	private SiteFixtures() {
	}

	static ServiceSpec service(String name) {
		return service(name, 1_000);
	}

	static ServiceSpec service(String name, long maxRunTimeMillis) {
		return new ServiceSpec(name, Set.of("width-check", "last-size"), true, maxRunTimeMillis);
	}

	static EndpointSpec endpoint(int port, String service) {
		return new EndpointSpec(new HostAddress("127.0.0.1", port), "hobart", "rack-1", service, 8, 64, 32, 131_072, 0);
	}

	static LogRecord record(SiteState state, ReleaseNote note) {
		return new LogRecord(state.nextOffset(), SiteRecordCodec.encode(note));
	}

	static SiteState fold(SiteState state, ReleaseNote... notes) {
		SiteState next = state;
		for (ReleaseNote note : notes) {
			next = NoteFold.fold(next, record(next, note));
		}
		return next;
	}

}
