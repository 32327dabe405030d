package org.masticwick.daemon.process.settings;

/**
 * Bounds a planned stop.
 *
 * @param deadlineMillis how long running jobs may take to end, in milliseconds
 */
public record StopSettings(long deadlineMillis) {

}
