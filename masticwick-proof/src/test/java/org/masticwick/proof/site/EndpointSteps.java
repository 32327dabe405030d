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
 * Harms workers and checks which get work.
 */
public class EndpointSteps {

	private static final Duration RETURN_LIMIT = Duration.ofSeconds(40);

	private static final Duration IDLE_LIMIT = Duration.ofSeconds(10);

	private static final int RETURN_START_COUNT = 15;

	private static final Map<String, Map<String, Object>> FAULTS = Map.of("leaving", Map.of("leaving", true), "gone",
			Map.of("stop", true), "failing", Map.of("fail_all", true), "slow", Map.of("slow_factor", 20));

	private static final Map<String, Map<String, Object>> CURES = Map.of("leaving",
			Map.of("start", true, "leaving", false), "gone", Map.of("start", true), "failing",
			Map.of("fail_all", false), "slow", Map.of("slow_factor", 1));

	private final Map<Integer, String> harmed = new LinkedHashMap<>();

	private String domain;

	/**
	 * Harms a worker.
	 * @param index the index of the worker
	 * @param failureDomain its failure domain
	 * @param fault what happens to it
	 */
	@When("worker {int} of {word} is {word}")
	public void workerIs(int index, String failureDomain, String fault) {
		this.domain = failureDomain;
		this.harmed.put(index, fault);
		workers().fault(index, FAULTS.get(fault));
	}

	/**
	 * Lets a leaving worker end its tasks and stops it.
	 * @param index the index of the worker
	 */
	@When("worker {int} has ended its tasks and stops")
	public void workerStops(int index) {
		SiteSupport.awaitTrue("idle", IDLE_LIMIT,
				() -> workers().describe().path(index).path("running").intValue() == 0);
		workers().fault(index, Map.of("stop", true));
	}

	/**
	 * Checks that a worker gets hardly any work.
	 * @param index the index of the worker
	 * @param maxCount how many messages it may still get
	 * @param fromMillis when counting begins, in milliseconds from now
	 * @param millis for how long messages are counted, in milliseconds
	 */
	@Then("worker {int} gets at most {int} posts from {int} ms on for {int} ms")
	public void workerGetsAtMost(int index, int maxCount, int fromMillis, int millis) throws InterruptedException {
		Thread.sleep(fromMillis);
		long before = counter(index, "posts");
		long startedBefore = workers().totals().get("started");
		Thread.sleep(millis);
		assertThat(counter(index, "posts") - before).as("posts to worker " + index).isLessThanOrEqualTo(maxCount);
		assertThat(workers().totals().get("started") - startedBefore).as("started by all workers").isGreaterThan(20);
	}

	/**
	 * Heals a worker and checks that it gets its part of the work again.
	 * @param index the index of the worker
	 */
	@Then("worker {int} gets work again once it is well")
	public void workerGetsWorkAgain(int index) {
		workers().fault(index, CURES.get(this.harmed.get(index)));
		long goal = counter(index, "started") + RETURN_START_COUNT;
		SiteSupport.awaitTrue("work for worker " + index, RETURN_LIMIT, () -> counter(index, "started") >= goal);
		this.harmed.remove(index);
	}

	/** Heals what is still harmed. */
	@After
	public void heal() {
		this.harmed.forEach((index, fault) -> workers().fault(index, CURES.get(fault)));
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
