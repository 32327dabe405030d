/**
 * The client of the platform's append-only log and list of hosts.
 */
package org.masticwick.platform;
