/**
 * Types whose lifetime is that of the process: the commands, their output and exit codes.
 */
package org.masticwick.cli.process;
