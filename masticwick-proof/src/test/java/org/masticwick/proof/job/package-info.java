/**
 * Steps of the features on jobs: submissions, answers and the number of task starts.
 */
package org.masticwick.proof.job;
