package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Is what a command prints and how the process ends.
 *
 * @param exitCode how the process ends
 * @param json the output for programs
 * @param text the output for people
 */
public record CommandResult(ExitCode exitCode, JsonNode json, String text) {

}
