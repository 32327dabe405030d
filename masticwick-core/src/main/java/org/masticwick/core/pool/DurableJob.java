package org.masticwick.core.pool;

/**
 * What a durable job is, as kept in the shared log.
 *
 * @param spec the job
 * @param terms the terms of its queue when it was accepted
 * @param acceptedEpochMillis when it came, in milliseconds since 1970
 */
public record DurableJob(JobSpec spec, JobTerms terms, long acceptedEpochMillis) {
}
