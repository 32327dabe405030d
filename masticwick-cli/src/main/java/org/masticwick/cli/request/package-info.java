/**
 * What lives as long as a request: the client of the callers' interface, its tickets and
 * answers.
 */
package org.masticwick.cli.request;
