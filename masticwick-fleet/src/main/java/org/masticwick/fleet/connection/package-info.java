/**
 * Objects with the lifetime of a connection: the HTTP server for callers, and clients of
 * the log and of endpoints.
 */
package org.masticwick.fleet.connection;
