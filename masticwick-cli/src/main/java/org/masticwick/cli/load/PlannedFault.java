package org.masticwick.cli.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Sets a fault of stand-in workers during a run.
 *
 * @param offsetMillis when, in milliseconds from the start of the run
 * @param adminIndex the place of the workers' process in the list of admin addresses
 * @param fault the fault as the workers' process takes it
 */
record PlannedFault(long offsetMillis, int adminIndex, JsonNode fault) {

}
