package org.masticwick.wire.internal;

import java.util.List;

import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.wire.PeerMessage;

/**
 * Types of the messages on pools of endpoints.
 */
final class PoolMessageTypes {

	private static final WireType<Double> DOUBLE = BasicTypes.type((out, value) -> out.packLong(Math.round(value)),
			(in) -> (double) in.readLong());

	/** Factors are written in thousandths. */
	private static final WireType<Double> FACTOR = BasicTypes
		.type((out, value) -> out.packLong(Math.round(value * 1_000)), (in) -> in.readLong() / 1_000.0);

	private static final RecordType<Resources> RESOURCES = new RecordType<>(
			(values) -> new Resources(values.get(0), values.get(1), values.get(2)),
			RecordType.optional(BasicTypes.LONG, Resources::cpuMillicores, 0L),
			RecordType.optional(BasicTypes.LONG, Resources::memoryMegabytes, 0L),
			RecordType.optional(BasicTypes.INT, Resources::gpuCount, 0));

	private static final RecordType<StepSpec> STEP = new RecordType<>(
			(values) -> new StepSpec(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6)),
			RecordType.required(BasicTypes.INT, StepSpec::taskCount), RecordType.required(RESOURCES, StepSpec::need),
			RecordType.optional(BasicTypes.LONG, StepSpec::estimatedMillis, 0L),
			RecordType.optional(BasicTypes.list(BasicTypes.INT), StepSpec::after, List.of()),
			RecordType.optional(BasicTypes.TEXT, StepSpec::requiredLabel, ""),
			RecordType.optional(BasicTypes.TEXT, StepSpec::dataRack, ""),
			RecordType.optional(BasicTypes.INT, StepSpec::maxPerEndpoint, 0));

	private static final RecordType<JobSpec> JOB = new RecordType<>(
			(values) -> new JobSpec(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, JobSpec::jobId),
			RecordType.required(BasicTypes.TEXT, JobSpec::payload),
			RecordType.required(BasicTypes.list(STEP), JobSpec::steps));

	private static final RecordType<JobTerms> TERMS = new RecordType<>(
			(values) -> new JobTerms(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6), values.get(7)),
			RecordType.required(BasicTypes.TEXT, JobTerms::queue),
			RecordType.required(BasicTypes.TEXT, JobTerms::service),
			RecordType.required(BasicTypes.INT, JobTerms::priority),
			RecordType.required(BasicTypes.INT, JobTerms::maxAttempts), RecordType.required(FACTOR, JobTerms::stretch),
			RecordType.required(BasicTypes.LONG, JobTerms::targetLatencyMillis),
			RecordType.required(BasicTypes.LONG, JobTerms::budgetMillis),
			RecordType.required(BasicTypes.LONG, JobTerms::versionNumber));

	private static final RecordType<JobOutcome> OUTCOME = new RecordType<>(
			(values) -> new JobOutcome(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.enumeration(JobOutcome.Kind.values()), JobOutcome::kind),
			RecordType.optional(BasicTypes.LONG, JobOutcome::retryAfterMillis, 0L),
			RecordType.required(BasicTypes.TEXT, JobOutcome::reason));

	private static final RecordType<PoolLoad> LOAD = new RecordType<>(
			(values) -> new PoolLoad(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.LONG, PoolLoad::totalMillicores),
			RecordType.required(BasicTypes.LONG, PoolLoad::freeMillicores),
			RecordType.required(DOUBLE, PoolLoad::backlogMillis),
			RecordType.required(BasicTypes.INT, PoolLoad::jobCount));

	private static final RecordType<PoolReport> POOL = new RecordType<>(
			(values) -> new PoolReport(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, PoolReport::pool),
			RecordType.required(BasicTypes.LONG, PoolReport::fencingToken),
			RecordType.required(LOAD, PoolReport::load));

	static final RecordType<PeerMessage.HostReport> HOST_REPORT = new RecordType<>(
			(values) -> new PeerMessage.HostReport(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.LONG, PeerMessage.HostReport::versionNumber),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.HostReport::leaving, false),
			RecordType.optional(BasicTypes.list(POOL), PeerMessage.HostReport::pools, List.of()),
			RecordType.optional(BasicTypes.list(BasicTypes.TEXT), PeerMessage.HostReport::heardOwners, List.of()));

	static final RecordType<PeerMessage.SubmitJob> SUBMIT_JOB = new RecordType<>(
			(values) -> new PeerMessage.SubmitJob(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.SubmitJob::pool),
			RecordType.required(BasicTypes.LONG, PeerMessage.SubmitJob::callNumber),
			RecordType.required(JOB, PeerMessage.SubmitJob::job),
			RecordType.required(TERMS, PeerMessage.SubmitJob::terms));

	static final RecordType<PeerMessage.JobAnswer> JOB_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.JobAnswer(values.get(0)),
			RecordType.required(OUTCOME, PeerMessage.JobAnswer::outcome));

	static final RecordType<PeerMessage.CancelJob> CANCEL_JOB = new RecordType<>(
			(values) -> new PeerMessage.CancelJob(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.CancelJob::pool),
			RecordType.required(BasicTypes.LONG, PeerMessage.CancelJob::callNumber),
			RecordType.required(BasicTypes.TEXT, PeerMessage.CancelJob::jobId));

	static final RecordType<PeerMessage.PublishedVersion> PUBLISHED_VERSION = new RecordType<>(
			(values) -> new PeerMessage.PublishedVersion(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.LONG, PeerMessage.PublishedVersion::versionNumber),
			RecordType.required(BasicTypes.BYTES, PeerMessage.PublishedVersion::content));

	private PoolMessageTypes() {
	}

}
