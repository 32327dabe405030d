/**
 * The steps that the features share: sites, processes and their faults.
 */
package org.masticwick.proof.steps;
