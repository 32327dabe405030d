/**
 * Everything with the lifetime of a request: tickets, jobs, tasks, their results, and the
 * decisions on admission and placement.
 */
package org.masticwick.core.request;
