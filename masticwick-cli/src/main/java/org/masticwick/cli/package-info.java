/**
 * The command line tool {@code masticwick} for operators and callers.
 */
package org.masticwick.cli;
