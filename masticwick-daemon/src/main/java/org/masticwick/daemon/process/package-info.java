/**
 * What lives as long as the process: its parts tied together, its HTTP server, its logs
 * and its state dump.
 */
package org.masticwick.daemon.process;
