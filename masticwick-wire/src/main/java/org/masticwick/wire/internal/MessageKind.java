package org.masticwick.wire.internal;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.masticwick.wire.PeerMessage;

/**
 * Kinds of messages and their numbers on the wire. The number of a removed kind is never
 * reused for another one.
 */
enum MessageKind {

	HELLO(1, PeerMessage.Hello.class, MessageTypes.HELLO),

	HEARTBEAT(2, PeerMessage.Heartbeat.class, MessageTypes.HEARTBEAT),

	DOMAIN_SUMMARY(3, PeerMessage.DomainSummary.class, MessageTypes.DOMAIN_SUMMARY),

	FETCH_RECORDS(4, PeerMessage.FetchRecords.class, MessageTypes.FETCH_RECORDS),

	RECORDS(5, PeerMessage.Records.class, MessageTypes.RECORDS),

	FORWARD(6, PeerMessage.Forward.class, MessageTypes.FORWARD),

	FORWARD_ANSWER(7, PeerMessage.ForwardAnswer.class, MessageTypes.FORWARD_ANSWER),

	INHERIT_TICKETS(8, PeerMessage.InheritTickets.class, MessageTypes.INHERIT_TICKETS),

	INHERIT_ANSWER(9, PeerMessage.InheritAnswer.class, MessageTypes.INHERIT_ANSWER),

	CLOSE_TICKETS(10, PeerMessage.CloseTickets.class, MessageTypes.CLOSE_TICKETS),

	PING(11, PeerMessage.Ping.class, MessageTypes.PING),

	PONG(12, PeerMessage.Pong.class, MessageTypes.PONG),

	ERROR_ANSWER(13, PeerMessage.ErrorAnswer.class, MessageTypes.ERROR_ANSWER),

	HOST_REPORT(14, PeerMessage.HostReport.class, PoolMessageTypes.HOST_REPORT),

	SUBMIT_JOB(15, PeerMessage.SubmitJob.class, PoolMessageTypes.SUBMIT_JOB),

	JOB_ANSWER(16, PeerMessage.JobAnswer.class, PoolMessageTypes.JOB_ANSWER),

	CANCEL_JOB(17, PeerMessage.CancelJob.class, PoolMessageTypes.CANCEL_JOB),

	PUBLISHED_VERSION(18, PeerMessage.PublishedVersion.class, PoolMessageTypes.PUBLISHED_VERSION),

	HAND_OVER_POOLS(19, PeerMessage.HandOverPools.class, PoolMessageTypes.HAND_OVER_POOLS),

	JOBS_MOVED(20, PeerMessage.JobsMoved.class, PoolMessageTypes.JOBS_MOVED),

	JOB_FINISHED(21, PeerMessage.JobFinished.class, PoolMessageTypes.JOB_FINISHED),

	ACKNOWLEDGED(22, PeerMessage.Acknowledged.class, PoolMessageTypes.ACKNOWLEDGED),

	JOB_QUERY(23, PeerMessage.JobQuery.class, PoolMessageTypes.JOB_QUERY),

	JOB_QUERY_ANSWER(24, PeerMessage.JobQueryAnswer.class, PoolMessageTypes.JOB_QUERY_ANSWER),

	CONFIRM_HAND_OVER(27, PeerMessage.ConfirmHandOver.class, PoolMessageTypes.CONFIRM_HAND_OVER),

	FETCH_VERSION(25, PeerMessage.FetchVersion.class, PoolMessageTypes.FETCH_VERSION),

	STRAY_END(26, PeerMessage.StrayEnd.class, PoolMessageTypes.STRAY_END),

	TASK_LOSSES(28, PeerMessage.TaskLosses.class, PoolMessageTypes.TASK_LOSSES),

	JOB_PLACED(30, PeerMessage.JobPlaced.class, PoolMessageTypes.JOB_PLACED),

	REGISTER_JOB(31, PeerMessage.RegisterJob.class, PoolMessageTypes.REGISTER_JOB),

	JOB_REGISTERED(32, PeerMessage.JobRegistered.class, PoolMessageTypes.JOB_REGISTERED);

	/** The size limit of messages of a kind without a limit of its own, in bytes. */
	static final int DEFAULT_MAX_BYTES = 8 * 1024 * 1024;

	/** The highest size limit of all kinds, in bytes. */
	static final int MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

	private static final Map<Integer, MessageKind> BY_NUMBER = Arrays.stream(values())
		.collect(Collectors.toUnmodifiableMap((kind) -> kind.number, Function.identity()));

	private static final Map<Class<?>, MessageKind> BY_CLASS = Arrays.stream(values())
		.collect(Collectors.toUnmodifiableMap((kind) -> kind.messageClass, Function.identity()));

	private final int number;

	private final Class<? extends PeerMessage> messageClass;

	private final WireType<? extends PeerMessage> type;

	<M extends PeerMessage> MessageKind(int number, Class<M> messageClass, WireType<M> type) {
		this.number = number;
		this.messageClass = messageClass;
		this.type = type;
	}

	static Optional<MessageKind> ofNumber(int number) {
		return Optional.ofNullable(BY_NUMBER.get(number));
	}

	static MessageKind of(PeerMessage message) {
		return BY_CLASS.get(message.getClass());
	}

	static int maxBytes(int number) {
		return (number == INHERIT_TICKETS.number) ? MAX_MESSAGE_BYTES : DEFAULT_MAX_BYTES;
	}

	int number() {
		return this.number;
	}

	String typeName() {
		return this.messageClass.getSimpleName();
	}

	@SuppressWarnings("unchecked")
	WireType<PeerMessage> type() {
		return (WireType<PeerMessage>) this.type;
	}

}
