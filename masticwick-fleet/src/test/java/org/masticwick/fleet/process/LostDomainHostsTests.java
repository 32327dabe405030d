package org.masticwick.fleet.process;

import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which host owns the pool of a failure domain of which no host is reachable, on a
 * site with one owner and on simulated time.
 */
class LostDomainHostsTests {

	private static final long START_MILLIS = 6_000;

	private static final long TAKEOVER_MILLIS = 7_000;

	private static final long CUT_MILLIS = 12_000;

	private static final long OTHERS_FIRST_MILLIS = 1_500;

	private final VirtualSite site = new VirtualSite(7);

	private String domain;

	@BeforeEach
	void start() {
		this.site.time().run(START_MILLIS);
		String owner = this.site.owner("d1");
		assertThat(this.site.domains()).allSatisfy((pool) -> assertThat(this.site.owner(pool)).isEqualTo(owner));
		this.domain = VirtualSite.domain(owner);
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private List<String> hosts(Predicate<String> filter) {
		return this.site.hostNames().stream().filter(filter).toList();
	}

	private List<String> hostsInside() {
		return hosts((name) -> VirtualSite.domain(name).equals(this.domain));
	}

	private List<String> hostsOutside() {
		return hosts((name) -> !VirtualSite.domain(name).equals(this.domain));
	}

	/** Its durable jobs used to be neither run nor known to anyone. */
	@Test
	void aHostOfAnotherFailureDomainOwnsThePoolWhoseHostsAreAllLost() {
		hostsInside().forEach(this.site::kill);
		this.site.time().run(TAKEOVER_MILLIS);
		String owner = this.site.owner(this.domain);
		assertThat(hostsOutside()).contains(owner);
		assertThat(this.site.domains()).allSatisfy((pool) -> assertThat(this.site.owner(pool)).isEqualTo(owner));
	}

	@Test
	void aHostThatStartsAgainInTimeKeepsThePool() {
		hostsInside().forEach(this.site::kill);
		this.site.time().run(2_500);
		hostsInside().forEach(this.site::startHost);
		this.site.time().run(1_500);
		assertThat(hostsInside()).contains(this.site.owner(this.domain));
	}

	/**
	 * A claim from outside would end the runs in a failure domain that serves its
	 * callers.
	 */
	@ParameterizedTest(name = "reaches the log: {0}")
	@ValueSource(booleans = { false, true })
	void aFailureDomainThatIsCutOffKeepsItsPool(boolean reachesLog) {
		String owner = this.site.owner(this.domain);
		hostsInside().stream().filter((name) -> !name.equals(owner)).forEach((name) -> cutOff(name, reachesLog));
		// While another host of it is heard, the pool may be claimed at once.
		this.site.time().run(OTHERS_FIRST_MILLIS);
		cutOff(owner, reachesLog);
		for (String endpointId : this.site.endpoints().ids()) {
			boolean inside = VirtualSite.domain(endpointId).equals(this.domain);
			(inside ? hostsOutside() : hostsInside())
				.forEach((name) -> this.site.endpoints().cut(name, endpointId, CUT_MILLIS));
		}
		this.site.time().run(CUT_MILLIS - 1_000);
		assertThat(hostsInside()).contains(this.site.owner(this.domain));
	}

	private void cutOff(String inside, boolean reachesLog) {
		for (String outside : hostsOutside()) {
			this.site.network().cut(this.site.host(inside).address(), this.site.host(outside).address(), CUT_MILLIS);
			this.site.network().cut(this.site.host(outside).address(), this.site.host(inside).address(), CUT_MILLIS);
		}
		if (!reachesLog) {
			this.site.hostsLog().silence(inside, CUT_MILLIS);
		}
	}

}
