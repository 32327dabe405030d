/**
 * What lives as long as a version of the site: release notes, their acceptance and the
 * immutable value that is in force.
 */
package org.masticwick.core.version;
