/**
 * Client of the platform: its append-only log and its list of hosts.
 */
package org.masticwick.platform;
