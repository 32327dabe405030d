/**
 * Versions of the site: release notes, their validation and the immutable value of the
 * active version.
 */
package org.masticwick.core.version;
