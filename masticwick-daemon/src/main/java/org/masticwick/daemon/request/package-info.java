/**
 * What lives as long as a request: jobs under their tickets, their dispatching, the way
 * to the home of a ticket and the answers to callers.
 */
package org.masticwick.daemon.request;
