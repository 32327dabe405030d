/**
 * Types whose lifetime is that of a connection: HTTP requests to hosts and other
 * processes.
 */
package org.masticwick.cli.connection;
