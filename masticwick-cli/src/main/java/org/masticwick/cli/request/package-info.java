/**
 * Types whose lifetime is that of a request: the client of the callers' API, its tickets
 * and answers.
 */
package org.masticwick.cli.request;
