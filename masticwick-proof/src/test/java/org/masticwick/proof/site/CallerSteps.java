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
 * Steps that run callers in the background while other steps inject faults.
 */
public class CallerSteps {

	private static final long SEED = 20_261_203;

	private static final Duration PROGRESS_LIMIT = Duration.ofSeconds(20);

	private Callers callers;

	/**
	 * Starts callers and waits until they got the first complete answers.
	 * @param count the number of callers, and of complete answers to wait for
	 * @param domains the failure domains whose entry hosts receive the requests,
	 * separated by spaces
	 * @param lagMillis the delay until the balancer detects that a host is not ready, in
	 * milliseconds
	 */
	@Given("{int} callers post to {string} through a balancer that is {int} ms late")
	public void callersPost(int count, String domains, int lagMillis) {
		this.callers = new Callers(World.site(), List.of(domains.split(" ")), count, Duration.ofMillis(lagMillis),
				SEED);
		jobsAreAnswered(count);
	}

	/**
	 * Waits until more jobs have been answered completely.
	 * @param count the number of further complete answers
	 */
	@When("{int} more jobs are answered")
	public void jobsAreAnswered(int count) {
		int targetCount = this.callers.completeCount() + count;
		SiteSupport.awaitTrue("jobs answered", PROGRESS_LIMIT, () -> this.callers.completeCount() >= targetCount);
	}

	/** Checks that all requests of the callers received a complete answer. */
	@Then("every job of the callers was answered completely")
	public void everyJobWasAnswered() {
		this.callers.close();
		assertThat(this.callers.requestFailures()).as("requests without an answer").isEmpty();
		assertThat(this.callers.problemBodies()).as("incomplete answers").isEmpty();
	}

	/**
	 * Checks that no request of the callers failed in transport and that each job which
	 * was not complete has the given code.
	 * @param code the allowed code
	 */
	@Then("every job of the callers was answered, failed ones with {string}")
	public void everyJobWasAnsweredOrFailed(String code) {
		this.callers.close();
		assertThat(this.callers.requestFailures()).as("requests without an answer").isEmpty();
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
