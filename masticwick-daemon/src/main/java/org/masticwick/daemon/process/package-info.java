/**
 * The entry host process: the wiring of its components, its HTTP server, its start and
 * planned stop, its metrics and its state dump.
 */
package org.masticwick.daemon.process;
