/**
 * What lives as long as a connection: the HTTP listener of a stand-in, on Netty, with the
 * faults of a connection.
 */
package org.masticwick.standin.connection;
