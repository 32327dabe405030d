/**
 * What lives as long as a request: tickets, jobs, tasks, their answers and the decisions
 * of admission and placement.
 */
package org.masticwick.core.request;
