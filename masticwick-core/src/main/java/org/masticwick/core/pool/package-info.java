/**
 * Decides how the owner of a pool of endpoints queues, refuses, places and restarts tasks
 * that run under leases. Nothing here does I/O or reads a clock.
 */
package org.masticwick.core.pool;
