/**
 * What lives as long as a request: the tasks of a worker.
 */
package org.masticwick.standin.request;
