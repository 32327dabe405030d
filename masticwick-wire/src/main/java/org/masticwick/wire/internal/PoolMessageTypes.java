package org.masticwick.wire.internal;

import java.util.List;
import java.util.Set;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.core.pool.DurableState;
import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointIncarnation;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.JobTransfer;
import org.masticwick.core.pool.OccurrenceProgress;
import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.RegistrationScope;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.StepTraits;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.pool.TaskProgress;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TaskTransfer;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.pool.TerminationKind;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.MalformedMessageException;
import org.masticwick.wire.PeerMessage;

/**
 * Wire types of the messages on pools of endpoints and of the records of durable jobs.
 */
final class PoolMessageTypes {

	/** Rounds to whole numbers. */
	private static final WireType<Double> ROUNDED_DOUBLE = BasicTypes
		.type((out, value) -> out.packLong(Math.round(value)), (in) -> (double) in.readLong());

	/** Rounds to thousandths. */
	private static final WireType<Double> THOUSANDTHS = BasicTypes
		.type((out, value) -> out.packLong(Math.round(value * 1_000)), (in) -> in.readLong() / 1_000.0);

	private static final RecordType<Resources> RESOURCES = new RecordType<>(
			(values) -> new Resources(values.get(0), values.get(1), values.get(2)),
			RecordType.optional(BasicTypes.AMOUNT, Resources::cpuMillicores, 0L),
			RecordType.optional(BasicTypes.AMOUNT, Resources::memoryMegabytes, 0L),
			RecordType.optional(BasicTypes.COUNT, Resources::gpuCount, 0));

	private static final RecordType<StepTraits> STEP_TRAITS = new RecordType<>(
			(values) -> new StepTraits(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.optional(BasicTypes.BOOLEAN, StepTraits::gang, false),
			RecordType.optional(BasicTypes.BOOLEAN, StepTraits::longRunning, false),
			RecordType.optional(BasicTypes.BOOLEAN, StepTraits::backfill, false),
			RecordType.optional(BasicTypes.BOOLEAN, StepTraits::serving, false));

	private static final RecordType<StepSpec> STEP_SPEC = new RecordType<>(
			(values) -> new StepSpec(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6), values.get(7)),
			RecordType.required(BasicTypes.COUNT, StepSpec::taskCount),
			RecordType.required(RESOURCES, StepSpec::demand),
			RecordType.optional(BasicTypes.AMOUNT, StepSpec::estimatedMillis, 0L),
			RecordType.optional(BasicTypes.list(BasicTypes.COUNT), StepSpec::predecessors, List.of()),
			RecordType.optional(BasicTypes.TEXT, StepSpec::requiredLabel, ""),
			RecordType.optional(BasicTypes.TEXT, StepSpec::dataRack, ""),
			RecordType.optional(BasicTypes.COUNT, StepSpec::maxPerEndpoint, 0),
			RecordType.optional(STEP_TRAITS, StepSpec::traits, StepTraits.DEFAULT));

	private static final RecordType<JobSchedule> JOB_SCHEDULE = new RecordType<>(
			(values) -> new JobSchedule(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.COUNT, JobSchedule::count),
			RecordType.required(BasicTypes.AMOUNT, JobSchedule::firstEpochMillis),
			RecordType.required(BasicTypes.AMOUNT, JobSchedule::intervalMillis));

	private static final RecordType<JobSpec> JOB_SPEC = new RecordType<>(
			(values) -> checkJob(
					new JobSpec(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4))),
			RecordType.required(BasicTypes.TEXT, JobSpec::jobId),
			RecordType.required(BasicTypes.TEXT, JobSpec::payload),
			RecordType.required(BasicTypes.list(STEP_SPEC), JobSpec::steps),
			RecordType.optional(BasicTypes.BOOLEAN, JobSpec::durable, false),
			RecordType.optional(JOB_SCHEDULE, JobSpec::schedule, JobSchedule.IMMEDIATE));

	private static final RecordType<JobTerms> JOB_TERMS = new RecordType<>(
			(values) -> new JobTerms(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6), values.get(7), values.get(8)),
			RecordType.required(BasicTypes.TEXT, JobTerms::queue),
			RecordType.required(BasicTypes.TEXT, JobTerms::service),
			RecordType.required(BasicTypes.INT, JobTerms::priority),
			RecordType.required(BasicTypes.COUNT, JobTerms::maxAttempts),
			RecordType.required(THOUSANDTHS, JobTerms::stretch),
			RecordType.required(BasicTypes.LONG, JobTerms::targetLatencyMillis),
			RecordType.required(BasicTypes.LONG, JobTerms::budgetMillis),
			RecordType.required(BasicTypes.LONG, JobTerms::versionNumber),
			RecordType.optional(BasicTypes.LONG, JobTerms::waitedMillis, JobTerms.UNKNOWN_WAIT));

	private static final RecordType<JobOutcome> JOB_OUTCOME = new RecordType<>(
			(values) -> new JobOutcome(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.enumeration(JobOutcome.Kind.values()), JobOutcome::kind),
			RecordType.optional(BasicTypes.LONG, JobOutcome::retryAfterMillis, 0L),
			RecordType.required(BasicTypes.TEXT, JobOutcome::reason));

	private static final RecordType<PoolLoad> POOL_LOAD = new RecordType<>(
			(values) -> new PoolLoad(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.LONG, PoolLoad::totalMillicores),
			RecordType.required(BasicTypes.LONG, PoolLoad::freeMillicores),
			RecordType.required(ROUNDED_DOUBLE, PoolLoad::backlogMillis),
			RecordType.required(BasicTypes.INT, PoolLoad::jobCount));

	private static final RecordType<PoolReport> POOL_REPORT = new RecordType<>(
			(values) -> new PoolReport(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, PoolReport::pool),
			RecordType.required(BasicTypes.LONG, PoolReport::fencingToken),
			RecordType.required(POOL_LOAD, PoolReport::load));

	static final RecordType<PeerMessage.HostReport> HOST_REPORT = new RecordType<>(
			(values) -> new PeerMessage.HostReport(values.get(0), values.get(1), values.get(2), values.get(3),
					values.get(4), values.get(5), values.get(6), values.get(7), values.get(8), values.get(9),
					values.get(10)),
			RecordType.required(BasicTypes.LONG, PeerMessage.HostReport::versionNumber),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.HostReport::leaving, false),
			RecordType.optional(BasicTypes.list(POOL_REPORT), PeerMessage.HostReport::pools, List.of()),
			RecordType.optional(BasicTypes.list(BasicTypes.TEXT), PeerMessage.HostReport::poolsWithReachableOwner,
					List.of()),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.HostReport::hasSeenDurableJobs, false),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.HostReport::logReachable, true),
			RecordType.optional(BasicTypes.INT, PeerMessage.HostReport::intervalMillis,
					PeerMessage.HostReport.SHORT_INTERVAL_MILLIS),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.HostReport::recipientReachable, true),
			RecordType.optional(BasicTypes.LONG, PeerMessage.HostReport::drainsOffset,
					PeerMessage.HostReport.DRAINS_UNKNOWN),
			RecordType.optional(BasicTypes.list(BasicTypes.TEXT), PeerMessage.HostReport::drainedDomains, List.of()),
			RecordType.optional(BasicTypes.list(BasicTypes.LONG), PeerMessage.HostReport::abandonedCalls, List.of()));

	static final RecordType<PeerMessage.SubmitJob> SUBMIT_JOB = new RecordType<>(
			(values) -> new PeerMessage.SubmitJob(values.get(0), values.get(1), values.get(2), values.get(3),
					values.get(4)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.SubmitJob::pool),
			RecordType.required(BasicTypes.LONG, PeerMessage.SubmitJob::callNumber),
			RecordType.required(JOB_SPEC, PeerMessage.SubmitJob::job),
			RecordType.required(JOB_TERMS, PeerMessage.SubmitJob::terms),
			RecordType.optional(BasicTypes.TEXT, PeerMessage.SubmitJob::refusedBy, ""));

	static final RecordType<PeerMessage.JobAnswer> JOB_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.JobAnswer(values.get(0)),
			RecordType.required(JOB_OUTCOME, PeerMessage.JobAnswer::outcome));

	static final RecordType<PeerMessage.CancelJob> CANCEL_JOB = new RecordType<>(
			(values) -> new PeerMessage.CancelJob(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.CancelJob::pool),
			RecordType.required(BasicTypes.LONG, PeerMessage.CancelJob::callNumber),
			RecordType.required(BasicTypes.TEXT, PeerMessage.CancelJob::jobId));

	static final RecordType<PeerMessage.PublishedVersion> PUBLISHED_VERSION = new RecordType<>(
			(values) -> new PeerMessage.PublishedVersion(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.LONG, PeerMessage.PublishedVersion::versionNumber),
			RecordType.required(BasicTypes.BYTES, PeerMessage.PublishedVersion::content));

	private static final RecordType<TaskId> TASK_ID = new RecordType<>(
			(values) -> new TaskId(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.TEXT, TaskId::jobId),
			RecordType.optional(BasicTypes.COUNT, TaskId::occurrence, 0),
			RecordType.optional(BasicTypes.COUNT, TaskId::step, 0),
			RecordType.optional(BasicTypes.COUNT, TaskId::index, 0));

	private static final RecordType<TaskRun> TASK_RUN = new RecordType<>(
			(values) -> new TaskRun(values.get(0), values.get(1)), RecordType.required(TASK_ID, TaskRun::task),
			RecordType.required(BasicTypes.COUNT, TaskRun::number));

	private static final RecordType<EndpointIncarnation> ENDPOINT_INCARNATION = new RecordType<>(
			(values) -> new EndpointIncarnation(values.get(0), HostAddress.parseIpv4(values.get(1)), values.get(2)),
			RecordType.required(BasicTypes.TEXT, EndpointIncarnation::endpointId),
			RecordType.required(BasicTypes.TEXT, (incarnation) -> incarnation.address().toString()),
			RecordType.required(BasicTypes.LONG, EndpointIncarnation::startedEpochMillis));

	private static final RecordType<TaskLoss> TASK_LOSS = new RecordType<>(
			(values) -> new TaskLoss(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(TASK_RUN, TaskLoss::run), RecordType.required(ENDPOINT_INCARNATION, TaskLoss::endpoint),
			RecordType.required(BasicTypes.enumeration(TaskLoss.State.values()), TaskLoss::state),
			RecordType.optional(BasicTypes.BOOLEAN, TaskLoss::attributable, false));

	static final RecordType<PeerMessage.TaskLosses> TASK_LOSSES = new RecordType<>(
			(values) -> new PeerMessage.TaskLosses(values.get(0)),
			RecordType.required(BasicTypes.list(TASK_LOSS), PeerMessage.TaskLosses::losses));

	private static final RecordType<TaskTransfer> TASK_TRANSFER = new RecordType<>(
			(values) -> new TaskTransfer(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6)),
			RecordType.required(TASK_ID, TaskTransfer::task),
			RecordType.optional(BasicTypes.BOOLEAN, TaskTransfer::done, false),
			RecordType.optional(BasicTypes.COUNT, TaskTransfer::runCount, 0),
			RecordType.optional(BasicTypes.COUNT, TaskTransfer::failureCount, 0),
			RecordType.optional(BasicTypes.TEXT, TaskTransfer::endpointId, ""),
			RecordType.optional(BasicTypes.LONG, TaskTransfer::sinceStartRequestedMillis, 0L),
			RecordType.optional(BasicTypes.BOOLEAN, TaskTransfer::accepted, false));

	private static final RecordType<JobOrigin> JOB_ORIGIN = new RecordType<>(
			(values) -> new JobOrigin(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.TEXT, JobOrigin::host),
			RecordType.required(BasicTypes.LONG, JobOrigin::callNumber));

	private static final RecordType<JobTransfer> JOB_TRANSFER = new RecordType<>(
			(values) -> new JobTransfer(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4)),
			RecordType.required(JOB_SPEC, JobTransfer::spec), RecordType.required(JOB_TERMS, JobTransfer::terms),
			RecordType.required(JOB_ORIGIN, JobTransfer::origin),
			RecordType.required(BasicTypes.LONG, JobTransfer::ageMillis),
			RecordType.required(BasicTypes.list(TASK_TRANSFER), JobTransfer::tasks));

	private static final RecordType<EndpointEntry> ENDPOINT_ENTRY = new RecordType<>(
			(values) -> new EndpointEntry(values.get(0), values.get(1), HostAddress.parseIpv4(values.get(2)),
					values.get(3), values.get(4), values.get(5), Set.copyOf(values.<List<String>>get(6)),
					values.get(7)),
			RecordType.required(BasicTypes.TEXT, EndpointEntry::id),
			RecordType.required(BasicTypes.TEXT, EndpointEntry::service),
			RecordType.required(BasicTypes.TEXT, (entry) -> entry.address().toString()),
			RecordType.required(BasicTypes.TEXT, EndpointEntry::domain),
			RecordType.required(BasicTypes.BOOLEAN, EndpointEntry::ready),
			RecordType.required(RESOURCES, EndpointEntry::capacity),
			RecordType.required(BasicTypes.list(BasicTypes.TEXT), (entry) -> List.copyOf(entry.labels())),
			RecordType.optional(BasicTypes.LONG, EndpointEntry::startedEpochMillis, 0L));

	private static final RecordType<PoolTransfer> POOL_TRANSFER = new RecordType<>(
			(values) -> new PoolTransfer(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.list(ENDPOINT_ENTRY), PoolTransfer::endpoints),
			RecordType.required(BasicTypes.list(JOB_TRANSFER), PoolTransfer::jobs),
			RecordType.optional(BasicTypes.list(TASK_LOSS), PoolTransfer::losses, List.of()));

	static final RecordType<PeerMessage.HandOverPools> HAND_OVER_POOLS = new RecordType<>(
			(values) -> new PeerMessage.HandOverPools(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.list(BasicTypes.TEXT), PeerMessage.HandOverPools::pools),
			RecordType.required(POOL_TRANSFER, PeerMessage.HandOverPools::transfer),
			RecordType.optional(BasicTypes.LONG, PeerMessage.HandOverPools::offerNumber, 0L));

	static final RecordType<PeerMessage.JobsMoved> JOBS_MOVED = new RecordType<>(
			(values) -> new PeerMessage.JobsMoved(values.get(0)),
			RecordType.required(BasicTypes.list(BasicTypes.LONG), PeerMessage.JobsMoved::callNumbers));

	static final RecordType<PeerMessage.JobFinished> JOB_FINISHED = new RecordType<>(
			(values) -> new PeerMessage.JobFinished(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.LONG, PeerMessage.JobFinished::callNumber),
			RecordType.required(JOB_OUTCOME, PeerMessage.JobFinished::outcome));

	private static final RecordType<TerminationId> TERMINATION_ID = new RecordType<>(
			(values) -> new TerminationId(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, TerminationId::endpointId),
			RecordType.required(BasicTypes.LONG, TerminationId::startedEpochMillis),
			RecordType.required(BasicTypes.LONG, TerminationId::number));

	private static final RecordType<TerminatedRun> TERMINATED_RUN = new RecordType<>(
			(values) -> new TerminatedRun(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.LONG, TerminatedRun::number),
			RecordType.required(TASK_RUN, TerminatedRun::run),
			RecordType.required(BasicTypes.enumeration(TerminationKind.values()), TerminatedRun::kind),
			RecordType.optional(BasicTypes.TEXT, TerminatedRun::checkpoint, ""));

	static final RecordType<PeerMessage.StrayEnd> STRAY_END = new RecordType<>(
			(values) -> new PeerMessage.StrayEnd(values.get(0), values.get(1)),
			RecordType.required(TERMINATION_ID, PeerMessage.StrayEnd::reference),
			RecordType.required(TERMINATED_RUN, PeerMessage.StrayEnd::termination));

	private static final RecordType<JobRegistration> JOB_REGISTRATION = new RecordType<>(
			(values) -> new JobRegistration(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4)),
			RecordType.required(BasicTypes.TEXT, JobRegistration::jobId),
			RecordType.required(BasicTypes.TEXT, JobRegistration::pool),
			RecordType.optional(BasicTypes.TEXT, JobRegistration::refusedBy, ""),
			RecordType.optional(BasicTypes.LONG, JobRegistration::waitedMillis, JobTerms.UNKNOWN_WAIT),
			RecordType.optional(BasicTypes.BOOLEAN, JobRegistration::repeated, false));

	static final RecordType<PeerMessage.RegisterJob> REGISTER_JOB = new RecordType<>(
			(values) -> new PeerMessage.RegisterJob(values.get(0)),
			RecordType.required(JOB_REGISTRATION, PeerMessage.RegisterJob::registration));

	static final RecordType<PeerMessage.JobRegistered> JOB_REGISTERED = new RecordType<>(
			(values) -> new PeerMessage.JobRegistered(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.JobRegistered::pool),
			RecordType.required(BasicTypes.enumeration(RegistrationScope.values()), PeerMessage.JobRegistered::scope));

	static final RecordType<PeerMessage.JobPlaced> JOB_PLACED = new RecordType<>(
			(values) -> new PeerMessage.JobPlaced(values.get(0)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.JobPlaced::pool));

	static final RecordType<PeerMessage.ConfirmHandOver> CONFIRM_HAND_OVER = new RecordType<>(
			(values) -> new PeerMessage.ConfirmHandOver(values.get(0)),
			RecordType.required(BasicTypes.LONG, PeerMessage.ConfirmHandOver::offerNumber));

	static final RecordType<PeerMessage.FetchVersion> FETCH_VERSION = new RecordType<>(
			(values) -> new PeerMessage.FetchVersion());

	static final RecordType<PeerMessage.Acknowledged> ACKNOWLEDGED = new RecordType<>(
			(values) -> new PeerMessage.Acknowledged());

	static final RecordType<PeerMessage.JobQuery> JOB_QUERY = new RecordType<>(
			(values) -> new PeerMessage.JobQuery(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.enumeration(PeerMessage.JobQueryKind.values()), PeerMessage.JobQuery::kind),
			RecordType.required(BasicTypes.TEXT, PeerMessage.JobQuery::jobIdOrQueue),
			RecordType.required(BasicTypes.list(BasicTypes.TEXT), PeerMessage.JobQuery::pools));

	static final RecordType<PeerMessage.JobQueryAnswer> JOB_QUERY_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.JobQueryAnswer(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.BOOLEAN, PeerMessage.JobQueryAnswer::complete),
			RecordType.optional(BasicTypes.list(BasicTypes.enumeration(JobStatus.values())),
					PeerMessage.JobQueryAnswer::status, List.of()),
			RecordType.optional(BasicTypes.INT, PeerMessage.JobQueryAnswer::waitingJobCount, 0));

	static final RecordType<DurableJob> DURABLE_JOB = new RecordType<>(
			(values) -> new DurableJob(values.get(0), values.get(1), values.get(2)),
			RecordType.required(JOB_SPEC, DurableJob::spec), RecordType.required(JOB_TERMS, DurableJob::terms),
			RecordType.required(BasicTypes.LONG, DurableJob::acceptedEpochMillis));

	private static final RecordType<TaskProgress> TASK_PROGRESS = new RecordType<>(
			(values) -> new TaskProgress(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6), values.get(7)),
			RecordType.optional(BasicTypes.COUNT, TaskProgress::step, 0),
			RecordType.optional(BasicTypes.COUNT, TaskProgress::index, 0),
			RecordType.optional(BasicTypes.BOOLEAN, TaskProgress::done, false),
			RecordType.optional(BasicTypes.COUNT, TaskProgress::lastTerminatedRun, 1),
			RecordType.optional(BasicTypes.COUNT, TaskProgress::failureCount, 0),
			RecordType.optional(BasicTypes.TEXT, TaskProgress::checkpoint, ""),
			RecordType.optional(BasicTypes.list(TASK_LOSS), TaskProgress::losses, List.of()),
			RecordType.optional(BasicTypes.list(BasicTypes.COUNT), TaskProgress::failedRuns, List.of()));

	private static final RecordType<OccurrenceProgress> OCCURRENCE_PROGRESS = new RecordType<>(
			(values) -> new OccurrenceProgress(values.get(0), values.get(1), values.get(2)),
			RecordType.optional(BasicTypes.COUNT, OccurrenceProgress::occurrence, 0),
			RecordType.optional(BasicTypes.BOOLEAN, OccurrenceProgress::completed, false),
			RecordType.optional(BasicTypes.list(TASK_PROGRESS), OccurrenceProgress::tasks, List.of()));

	static final RecordType<DurableProgress> DURABLE_PROGRESS = new RecordType<>(
			(values) -> new DurableProgress(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.enumeration(DurableState.values()), DurableProgress::state),
			RecordType.required(BasicTypes.LONG, DurableProgress::stateChangedEpochMillis),
			RecordType.optional(BasicTypes.list(OCCURRENCE_PROGRESS), DurableProgress::occurrences, List.of()));

	private PoolMessageTypes() {
	}

	// A job whose tasks or due times can't be would fail while it is scheduled.
	private static JobSpec checkJob(JobSpec spec) {
		for (int stepNumber = 0; stepNumber < spec.steps().size(); stepNumber++) {
			int number = stepNumber;
			StepSpec step = spec.steps().get(stepNumber);
			if (step.taskCount() < 1 || step.predecessors().stream().anyMatch((earlier) -> earlier >= number)) {
				throw new MalformedMessageException("Step " + number + " of a job can't be", null);
			}
		}
		JobSchedule schedule = spec.schedule();
		long intervalCount = Math.max(0, schedule.count() - 1L);
		if (Math.multiplyHigh(intervalCount, schedule.intervalMillis()) != 0
				|| schedule.dueEpochMillis((int) intervalCount) < schedule.firstEpochMillis()) {
			throw new MalformedMessageException("The due times of a job are out of range", null);
		}
		return spec;
	}

}
