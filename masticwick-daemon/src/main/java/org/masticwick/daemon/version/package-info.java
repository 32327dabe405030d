/**
 * Follows the log of release notes, holds the active version of the site, and relays
 * release notes between peers.
 */
package org.masticwick.daemon.version;
