/**
 * What lives as long as a connection: HTTP exchanges with hosts and other processes.
 */
package org.masticwick.cli.connection;
