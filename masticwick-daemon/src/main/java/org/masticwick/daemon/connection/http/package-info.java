/**
 * HTTP connections of clients: limits on the requests that they send, and the order of
 * the responses.
 */
package org.masticwick.daemon.connection.http;
