package org.masticwick.wire.internal;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.ServiceLoad;
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
import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.RegistrationScope;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.StepTraits;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TaskTransfer;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.pool.TerminationKind;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage;

/**
 * Example messages: at least one of each kind, with extreme and default field values.
 */
final class MessageExamples {

	static final EntryHost HOST = new EntryHost("hobart", new HostAddress("10.1.2.3", 65_535),
			new Incarnation(1_764_800_000_000L, Long.MAX_VALUE));

	static final EntryHost IPV6_HOST = new EntryHost("", new HostAddress("::1", 1), new Incarnation(0, 0));

	static final LoadReport LOAD = new LoadReport(Map.of("fitting", new ServiceLoad(1, 2, 3, Long.MAX_VALUE)),
			Map.of(new HostAddress("10.0.0.1", 80), 7), Map.of("shop-4", 1));

	static final PeerStatus STATUS = new PeerStatus(7, 9, "c0ffee", true, true,
			List.of(new Incarnation(5, 6), new Incarnation(7, 8)), new HostAddress("10.0.0.9", 8_080), LOAD);

	private static final byte[] BYTES = { 0, -1, 127 };

	private MessageExamples() {
	}

	static Stream<PeerMessage> all() {
		return Stream.of(membershipMessages(), requestMessages(), answerMessages(), poolMessages())
			.flatMap((messages) -> messages);
	}

	private static Stream<PeerMessage> membershipMessages() {
		return Stream.of(new PeerMessage.Hello(HOST, 1, 1), new PeerMessage.Hello(IPV6_HOST, Integer.MAX_VALUE, 0),
				new PeerMessage.Heartbeat(null, Long.MAX_VALUE, true, STATUS),
				new PeerMessage.Heartbeat(null, 0, false, PeerStatus.NONE),
				new PeerMessage.DomainSummary("hobart", LOAD.services(),
						List.of(HostSummary.of(HOST, 3, STATUS, 4),
								HostSummary.of(HOST, 3, STATUS, 4).withoutStatus())),
				new PeerMessage.DomainSummary("", Map.of(), List.of(HostSummary.of(IPV6_HOST, -1, PeerStatus.NONE, 0))),
				new PeerMessage.Ping(), new PeerMessage.Pong());
	}

	private static Stream<PeerMessage> requestMessages() {
		return Stream.of(new PeerMessage.FetchRecords(5, 3, 100),
				new PeerMessage.Forward(PeerMessage.ForwardOperation.SUBMIT, "ticket", BYTES, 30_000),
				new PeerMessage.Forward(PeerMessage.ForwardOperation.COLLECT, "", new byte[0], 0),
				new PeerMessage.InheritTickets(HOST, HOST, 1, 2, BYTES, 3,
						List.of(new PeerMessage.InheritedJob("ticket", BYTES, 200, "application/json", BYTES)), 1),
				new PeerMessage.CloseTickets(List.of(new PeerMessage.ClosedTicket("ticket", 502, "a/b", BYTES))));
	}

	private static Stream<PeerMessage> answerMessages() {
		return Stream.of(new PeerMessage.Records(List.of(new PeerMessage.RecordEntry(4, "{\"ñ\":1}")), "snapshot", 3),
				new PeerMessage.Records(List.of(), null, 0), new PeerMessage.ForwardAnswer(503, "a/b", BYTES, 250),
				new PeerMessage.ForwardAnswer(200, "", new byte[0], -1), new PeerMessage.InheritAnswer(false),
				new PeerMessage.ErrorAnswer("busy", ""));
	}

	private static Stream<PeerMessage> poolMessages() {
		StepSpec stepSpec = new StepSpec(8, new Resources(27_000, 64, 1), 60, List.of(0), "kind-a", "rack-1", 2,
				new StepTraits(true, false, true, false));
		StepSpec firstStepSpec = new StepSpec(3, new Resources(1, 0, 0), 0, List.of(), "", "", 0);
		JobSpec jobSpec = new JobSpec("5c0e7a21d94b36f8", "payload", List.of(firstStepSpec, stepSpec), true,
				new JobSchedule(3, 7, 500));
		JobTerms jobTerms = new JobTerms("queue", "service", 2, 4, 1.6, 60, 1_500, 7);
		PoolReport poolReport = new PoolReport("hobart", 33, new PoolLoad(64_000, -1, 12, 3));
		TaskTransfer taskTransfer = new TaskTransfer(new TaskId("5c0e7a21d94b36f8", 0, 1, 7), false, 2, 1, "e-1", 40,
				true);
		EndpointEntry endpointEntry = new EndpointEntry("e-1", "service", new HostAddress("10.0.0.1", 80), "hobart",
				true, new Resources(64_000, 1_024, 0), Set.of("kind-a"), 5);
		JobTransfer jobTransfer = new JobTransfer(jobSpec, jobTerms, new JobOrigin("10.0.0.1:7", 9), 120,
				List.of(taskTransfer));
		TaskLoss taskLoss = new TaskLoss(new TaskRun(new TaskId("5c0e7a21d94b36f8", 0, 1, 7), 2),
				new EndpointIncarnation("e-1", new HostAddress("10.0.0.1", 80), 5), TaskLoss.State.CRASHED, true);
		return Stream.of(
				new PeerMessage.HostReport(7, true, List.of(poolReport), List.of("hobart"), true, false, 375, false, 12,
						List.of("hobart", "burnie"), List.of(3L, 1L << 60)),
				new PeerMessage.HostReport(
						0, false, List.of(), List.of(), false, true, 125, true, -1, List.of(), List.of()),
				new PeerMessage.SubmitJob("hobart", 3, jobSpec, jobTerms, ""),
				new PeerMessage.SubmitJob("hobart", 3, jobSpec,
						new JobTerms("queue", "service", 2, 4, 1.6, 60, 1_500, 7, 320), "burnie"),
				new PeerMessage.JobAnswer(new JobOutcome(JobOutcome.Kind.REFUSED, 500, "would-be-late")),
				new PeerMessage.JobAnswer(JobOutcome.of(JobOutcome.Kind.NOT_OWNER, "")),
				new PeerMessage.CancelJob("hobart", 3, "5c0e7a21d94b36f8"), new PeerMessage.PublishedVersion(7, BYTES),
				new PeerMessage.HandOverPools(List.of("hobart"),
						new PoolTransfer(List.of(endpointEntry), List.of(jobTransfer), List.of(taskLoss)), 3),
				new PeerMessage.TaskLosses(List.of(taskLoss)), new PeerMessage.TaskLosses(List.of()),
				new PeerMessage.RegisterJob(
						new JobRegistration("5c0e7a21d94b36f8", "hobart", "", JobTerms.UNKNOWN_WAIT, false)),
				new PeerMessage.RegisterJob(new JobRegistration("5c0e7a21d94b36f8", "hobart", "burnie", 12, true)),
				new PeerMessage.JobRegistered("hobart", RegistrationScope.SITE),
				new PeerMessage.JobRegistered("burnie", RegistrationScope.UNDECIDED),
				new PeerMessage.JobPlaced("hobart"), new PeerMessage.JobsMoved(List.of(3L, 4L)),
				new PeerMessage.JobFinished(3, JobOutcome.of(JobOutcome.Kind.COMPLETED, "done")),
				new PeerMessage.Acknowledged(), new PeerMessage.FetchVersion(), new PeerMessage.ConfirmHandOver(3),
				new PeerMessage.StrayEnd(new TerminationId("e-1", 5, 9),
						new TerminatedRun(9, new TaskRun(new TaskId("5c0e7a21d94b36f8", 0, 1, 7), 2),
								TerminationKind.STOPPED, "half")),
				new PeerMessage.JobQuery(PeerMessage.JobQueryKind.CANCEL, "5c0e7a21d94b36f8", List.of("hobart")),
				new PeerMessage.JobQueryAnswer(true, List.of(JobStatus.RUNNING), 3));
	}

}
