/**
 * What lives as long as a published version: queues, services and limits.
 */
package org.masticwick.fleet.version;
