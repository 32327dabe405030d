/**
 * The steps of the features on jobs: submissions, answers and counts of starts.
 */
package org.masticwick.proof.job;
