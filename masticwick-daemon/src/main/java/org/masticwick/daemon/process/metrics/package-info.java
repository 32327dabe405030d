/**
 * Metrics of an entry host.
 */
package org.masticwick.daemon.process.metrics;
