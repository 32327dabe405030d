package org.masticwick.core.pool;

/**
 * The definition of a durable job as stored in the shared log.
 *
 * @param spec the job
 * @param terms the terms of its queue when it was accepted
 * @param acceptedEpochMillis when it was submitted, in milliseconds since 1970
 */
public record DurableJob(JobSpec spec, JobTerms terms, long acceptedEpochMillis) {
}
