/**
 * What lives as long as a version of the site: the publishing of release notes.
 */
package org.masticwick.cli.version;
