/**
 * Types for versions of the site: publishing of release notes.
 */
package org.masticwick.cli.version;
