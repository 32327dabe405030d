/**
 * What lives as long as a connection of a caller: bounds on the requests that it sends,
 * and the order of their answers.
 */
package org.masticwick.daemon.connection.http;
