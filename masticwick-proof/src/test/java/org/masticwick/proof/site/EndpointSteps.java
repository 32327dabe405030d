package org.masticwick.proof.site;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.StandinWorkers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps that inject faults into workers and check which workers receive work.
 */
public class EndpointSteps {

	private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(40);

	private static final Duration IDLE_LIMIT = Duration.ofSeconds(10);

	private static final int RECOVERY_START_COUNT = 15;

	private static final Map<String, Map<String, Object>> FAULTS = Map.of("leaving", Map.of("leaving", true), "gone",
			Map.of("stop", true), "failing", Map.of("fail_all", true), "slow", Map.of("slow_factor", 20));

	private static final Map<String, Map<String, Object>> FAULT_RESETS = Map.of("leaving",
			Map.of("start", true, "leaving", false), "gone", Map.of("start", true), "failing",
			Map.of("fail_all", false), "slow", Map.of("slow_factor", 1));

	private final Map<Integer, String> faultsByWorker = new LinkedHashMap<>();

	private String domain;

	/**
	 * Injects a fault into a worker.
	 * @param index the index of the worker
	 * @param failureDomain the failure domain of the worker
	 * @param fault the fault: {@code leaving}, {@code gone}, {@code failing} or
	 * {@code slow}
	 */
	@When("worker {int} of {word} is {word}")
	public void faultIsInjected(int index, String failureDomain, String fault) {
		this.domain = failureDomain;
		this.faultsByWorker.put(index, fault);
		workers().fault(index, FAULTS.get(fault));
	}

	/**
	 * Waits until a leaving worker runs no tasks, then stops it.
	 * @param index the index of the worker
	 */
	@When("worker {int} has ended its tasks and stops")
	public void workerStops(int index) {
		SiteSupport.awaitTrue("idle", IDLE_LIMIT,
				() -> workers().describe().path(index).path("running").intValue() == 0);
		workers().fault(index, Map.of("stop", true));
	}

	/**
	 * Checks that a worker receives at most some requests while the other workers
	 * continue to start tasks.
	 * @param index the index of the worker
	 * @param maxCount the maximum number of requests to the worker
	 * @param delayMillis the delay before counting starts, in milliseconds
	 * @param durationMillis the time during which requests are counted, in milliseconds
	 */
	@Then("worker {int} gets at most {int} posts from {int} ms on for {int} ms")
	public void workerGetsAtMost(int index, int maxCount, int delayMillis, int durationMillis)
			throws InterruptedException {
		Thread.sleep(delayMillis);
		long initialPostCount = counter(index, "posts");
		long initialStartCount = workers().totals().get("started");
		Thread.sleep(durationMillis);
		assertThat(counter(index, "posts") - initialPostCount).as("posts to worker " + index)
			.isLessThanOrEqualTo(maxCount);
		assertThat(workers().totals().get("started") - initialStartCount).as("started by all workers")
			.isGreaterThan(20);
	}

	/**
	 * Resets the fault of a worker and waits until it starts tasks again.
	 * @param index the index of the worker
	 */
	@Then("worker {int} gets work again once it is well")
	public void workerGetsWorkAgain(int index) {
		workers().fault(index, FAULT_RESETS.get(this.faultsByWorker.get(index)));
		long targetCount = counter(index, "started") + RECOVERY_START_COUNT;
		SiteSupport.awaitTrue("work for worker " + index, RECOVERY_LIMIT,
				() -> counter(index, "started") >= targetCount);
		this.faultsByWorker.remove(index);
	}

	/** Resets all remaining faults. */
	@After
	public void resetFaults() {
		this.faultsByWorker.forEach((index, fault) -> workers().fault(index, FAULT_RESETS.get(fault)));
	}

	private StandinWorkers workers() {
		return World.site().workers(this.domain);
	}

	private long counter(int index, String name) {
		HostAddress address = workers().addresses().get(index);
		return StreamSupport.stream(workers().counters().path("workers").spliterator(), false)
			.filter((worker) -> worker.path("address").textValue().equals(address.toString()))
			.map((JsonNode worker) -> worker.path("counters").path(name).longValue())
			.findFirst()
			.orElseThrow();
	}

}
