/**
 * Step definitions shared by the features: sites, their processes and injected faults.
 */
package org.masticwick.proof.steps;
