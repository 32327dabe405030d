/**
 * The command masticwick for operators and callers.
 */
package org.masticwick.cli;
