/**
 * Runs the processes of a site for fault tests and injects faults into them and into the
 * network between them.
 */
package org.masticwick.proof.support;
