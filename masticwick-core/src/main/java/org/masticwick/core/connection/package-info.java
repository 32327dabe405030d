/**
 * Membership of the site's entry hosts and the load that they report to each other in
 * heartbeats.
 */
package org.masticwick.core.connection;
