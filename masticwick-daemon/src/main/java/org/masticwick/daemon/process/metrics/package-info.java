/**
 * The metrics of an entry host, in the Prometheus format.
 */
package org.masticwick.daemon.process.metrics;
