/**
 * What lives as long as a request of a caller.
 */
package org.masticwick.fleet.request;
