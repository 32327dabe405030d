/**
 * Objects with the lifetime of a connection: the HTTP listener of a stand-in, based on
 * Netty, and the faults that it simulates at the level of HTTP and TCP.
 */
package org.masticwick.standin.connection;
