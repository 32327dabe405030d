/**
 * Objects with the lifetime of a published version: queues, limits and their format. Also
 * the drained failure domains, which operators set beside the versions.
 */
package org.masticwick.fleet.version;
