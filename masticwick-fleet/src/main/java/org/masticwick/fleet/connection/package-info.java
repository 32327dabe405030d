/**
 * What lives as long as a connection: calls to the shared log, to endpoints and to peers.
 */
package org.masticwick.fleet.connection;
