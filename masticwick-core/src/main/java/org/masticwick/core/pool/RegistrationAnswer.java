package org.masticwick.core.pool;

/**
 * Answer to the registration of a job.
 *
 * @param pool the pool that runs the job: that of the registered copy, unless an earlier
 * copy went to another one
 * @param scope how much the answer proves
 */
public record RegistrationAnswer(String pool, RegistrationScope scope) {
}
