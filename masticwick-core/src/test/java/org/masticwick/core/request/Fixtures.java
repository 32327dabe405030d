package org.masticwick.core.request;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Values and factory methods shared by tests of the scheduler.
 */
final class Fixtures {

	static final String SERVICE = "fitting";

	static final String DOMAIN = "hobart";

	static final String OTHER_DOMAIN = "launceston";

	static final long NANOS_PER_MILLI = 1_000_000L;

	static final long FAR_DEADLINE_NANOS = 600_000 * NANOS_PER_MILLI;

	private Fixtures() {
	}

	static EntryHost host(String domain, int number) {
		return new EntryHost(domain, new HostAddress("10.0.0." + number, 70), new Incarnation(number, number));
	}

	static HostAddress address(int number) {
		return new HostAddress("10.0.1." + number, 80);
	}

	static EndpointSpec endpoint(int number, String domain, int slotCount) {
		return new EndpointSpec(address(number), domain, "r1", SERVICE, slotCount, 64, 32, 1_000, 1);
	}

	static SiteVersion version(long number, Map<String, String> rules, EndpointSpec... endpoints) {
		Map<HostAddress, EndpointSpec> byAddress = new HashMap<>();
		Arrays.stream(endpoints).forEach((endpoint) -> byAddress.put(endpoint.address(), endpoint));
		ServiceSpec service = new ServiceSpec(SERVICE, Set.of("width", "size"), true, 5_000);
		return new SiteVersion(number, Map.of(SERVICE, service), byAddress, new Rules(rules));
	}

	static Scheduler scheduler(SchedulerSettings settings, SiteVersion version) {
		Scheduler scheduler = Schedulers.create(settings, DOMAIN, host(DOMAIN, 1), new Random(7));
		scheduler.updateVersion(version, 0);
		return scheduler;
	}

	static Scheduler scheduler(EndpointSpec... endpoints) {
		return scheduler(SchedulerSettings.defaults(), version(1, Map.of(), endpoints));
	}

	static TaskSpec task(String kind, long memoryMegabytes, int acceleratorCount) {
		return new TaskSpec(kind, "{}", 0, memoryMegabytes, acceleratorCount);
	}

	static JobRequest request(String team, boolean urgent, int taskCount) {
		List<TaskSpec> tasks = Collections.nCopies(taskCount, task("width", 0, 0));
		return new JobRequest(SERVICE, team, urgent, false, 1_000, tasks);
	}

	static JobSubmission submission(String ticket, int taskCount) {
		return new JobSubmission(ticket, request("team", false, taskCount), FAR_DEADLINE_NANOS);
	}

	static JobSubmission submission(String ticket, String team, boolean urgent, int taskCount) {
		return new JobSubmission(ticket, request(team, urgent, taskCount), FAR_DEADLINE_NANOS);
	}

	static StartOutcome outcome(StartCommand start, StartOutcome.Kind kind) {
		return new StartOutcome(start.endpoint().address(), kind, 100 * NANOS_PER_MILLI);
	}

}
