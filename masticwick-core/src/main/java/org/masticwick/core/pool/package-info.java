/**
 * Scheduling for the owner of a pool of endpoints: admission, queueing, placement and
 * restart of tasks that run under leases. The package does no I/O and reads no clock;
 * callers pass the time.
 */
package org.masticwick.core.pool;
