package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The output of a command and the exit code of the process.
 *
 * @param exitCode the exit code of the process
 * @param json the output for {@code --output json}
 * @param text the output for {@code --output text}
 */
public record CommandResult(ExitCode exitCode, JsonNode json, String text) {

}
