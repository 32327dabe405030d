package org.masticwick.cli.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Sets a fault of stand-in workers during a run.
 *
 * @param atMillis when, in milliseconds from the start of the run
 * @param admin the place of the workers' process in the list of admin addresses
 * @param fault the fault as the workers' process takes it
 */
record FaultPlan(long atMillis, int admin, JsonNode fault) {

}
