/**
 * Structured log lines: one event a line, as JSON or text.
 */
package org.masticwick.log;
