/**
 * Configuration of structured logging: one event per line, as JSON or text.
 */
package org.masticwick.log;
