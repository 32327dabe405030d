package org.masticwick.cli.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A fault to inject into stand-in workers during a load run.
 *
 * @param offsetMillis when to inject the fault, in milliseconds from the start of the run
 * @param adminIndex the index of the workers' admin address in {@code --workers-admin}
 * @param fault the body of the request to {@code /admin/faults}
 */
record PlannedFault(long offsetMillis, int adminIndex, JsonNode fault) {

}
