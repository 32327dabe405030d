/**
 * What lives as long as the process: the commands, their output and exit codes.
 */
package org.masticwick.cli.process;
