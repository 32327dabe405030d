package org.masticwick.proof.site;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.proof.steps.World;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Lets callers post jobs while other steps harm the site.
 */
public class CallerSteps {

	private static final long SEED = 20_261_203;

	private static final Duration PROGRESS_LIMIT = Duration.ofSeconds(20);

	private Callers callers;

	/**
	 * Starts callers.
	 * @param count how many
	 * @param domains the failure domains whose entry hosts they call
	 * @param lagMillis how late their balancer learns that a host is not ready, in
	 * milliseconds
	 */
	@Given("{int} callers post to {string} through a balancer that is {int} ms late")
	public void callersPost(int count, String domains, int lagMillis) {
		this.callers = new Callers(World.site(), List.of(domains.split(" ")), count, Duration.ofMillis(lagMillis),
				SEED);
		jobsAreAnswered(count);
	}

	/**
	 * Waits until more jobs are answered.
	 * @param count how many more
	 */
	@When("{int} more jobs are answered")
	public void jobsAreAnswered(int count) {
		int targetCount = this.callers.completeCount() + count;
		SiteSupport.awaitTrue("jobs answered", PROGRESS_LIMIT, () -> this.callers.completeCount() >= targetCount);
	}

	/** Checks that each job of the callers was answered completely. */
	@Then("every job of the callers was answered completely")
	public void everyJobWasAnswered() {
		this.callers.close();
		assertThat(this.callers.requestFailures()).as("cut off").isEmpty();
		assertThat(this.callers.problemBodies()).as("not complete").isEmpty();
	}

	/** Checks that each job of the callers got a whole answer, if a failed one. */
	@Then("every job of the callers was answered, failed ones with {string}")
	public void everyJobWasAnsweredOrFailed(String code) {
		this.callers.close();
		assertThat(this.callers.requestFailures()).as("cut off").isEmpty();
		Map<String, Integer> problemCounts = this.callers.problemCounts();
		assertThat(problemCounts.keySet()).as(problemCounts.toString()).isSubsetOf(code);
	}

	/** Stops the callers. */
	@After
	public void stopCallers() {
		if (this.callers != null) {
			this.callers.close();
		}
	}

}
