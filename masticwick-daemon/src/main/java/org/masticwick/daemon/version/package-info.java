/**
 * What lives as long as a version of the site: following the log of release notes, the
 * version in force, and relaying it between peers.
 */
package org.masticwick.daemon.version;
