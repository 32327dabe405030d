/**
 * Serves requests: stores jobs by their tickets, dispatches their tasks, routes requests
 * to the host that holds the ticket, and creates the answers to callers.
 */
package org.masticwick.daemon.request;
