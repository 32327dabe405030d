/**
 * Connections of an entry host to its peers and to endpoints: heartbeats within its
 * failure domain, summaries between domains, and the client of the endpoints' protocol.
 */
package org.masticwick.daemon.connection;
