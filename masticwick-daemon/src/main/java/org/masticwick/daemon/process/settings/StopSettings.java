package org.masticwick.daemon.process.settings;

/**
 * The section {@code stop}: the time limits of a planned stop.
 *
 * @param deadlineMillis the time that active jobs have to complete before they are
 * aborted, in milliseconds
 * @param drainMinMillis the minimum time for which a host continues to serve requests
 * after it has announced that it is leaving, since load balancers notice with a delay, in
 * milliseconds; it is cut short by the deadline
 */
public record StopSettings(long deadlineMillis, long drainMinMillis) {

}
