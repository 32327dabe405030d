/**
 * Objects with the lifetime of a published version: queues, limits and their format.
 */
package org.masticwick.fleet.version;
