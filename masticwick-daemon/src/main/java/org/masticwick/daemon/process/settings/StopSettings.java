package org.masticwick.daemon.process.settings;

/**
 * Bounds a planned stop.
 *
 * @param deadlineMillis how long running jobs may take to end, in milliseconds
 * @param drainMinMillis for how long a host serves after it has announced that it leaves,
 * since balancers learn of it late, in milliseconds; the deadline goes before it
 */
public record StopSettings(long deadlineMillis, long drainMinMillis) {

}
