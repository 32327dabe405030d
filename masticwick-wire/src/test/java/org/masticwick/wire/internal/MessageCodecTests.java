package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import org.masticwick.wire.MalformedMessageException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.internal.Envelope.Problem;
import org.masticwick.wire.internal.Envelope.Role;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link MessageCodec}.
 */
class MessageCodecTests {

	private static final long CORRELATION_ID = 77;

	private byte[] encode(PeerMessage message) {
		return MessageCodec.encode(Envelope.of(Role.REQUEST, CORRELATION_ID, message));
	}

	private static byte[] pack(BytesWriter bytesWriter) throws IOException {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			bytesWriter.write(out);
			return out.toByteArray();
		}
	}

	private static void packEnvelopeStart(MessageBufferPacker out, int elementCount, int kind) throws IOException {
		out.packArrayHeader(elementCount).packInt(kind).packInt(Role.REQUEST.ordinal()).packLong(CORRELATION_ID);
	}

	static Stream<PeerMessage> examples() {
		return MessageExamples.all();
	}

	static Stream<BytesWriter> bodiesWithExcessiveLengths() {
		return Stream.of((out) -> {
			packEnvelopeStart(out, 4, MessageKind.CLOSE_TICKETS.number());
			out.packMapHeader(1).packInt(0).packArrayHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packEnvelopeStart(out, 4, MessageKind.ERROR_ANSWER.number());
			out.packMapHeader(1).packInt(0).packRawStringHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packEnvelopeStart(out, 4, MessageKind.INHERIT_TICKETS.number());
			out.packMapHeader(1).packInt(3).packBinaryHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packEnvelopeStart(out, 4, MessageKind.PING.number());
			out.packMapHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packEnvelopeStart(out, 4, MessageKind.PING.number());
			out.packMapHeader(1).packInt(50).packArrayHeader(Integer.MAX_VALUE);
		});
	}

	@Nested
	class RoundTrips {

		@ParameterizedTest
		@MethodSource("org.masticwick.wire.internal.MessageCodecTests#examples")
		void preserveMessageRoleAndCorrelationId(PeerMessage message) {
			Envelope envelope = MessageCodec.decode(encode(message));
			assertThat(envelope.problem()).isNull();
			assertThat(envelope.role()).isEqualTo(Role.REQUEST);
			assertThat(envelope.correlationId()).isEqualTo(CORRELATION_ID);
			assertThat(envelope.message()).usingRecursiveComparison().isEqualTo(message);
		}

		@ParameterizedTest
		@EnumSource
		void coverEachKind(MessageKind kind) {
			assertThat(examples().map(MessageKind::of)).contains(kind);
		}

	}

	@Nested
	class NewerVersions {

		@Test
		void mayAddFieldsAndElements() throws IOException {
			byte[] bytes = pack((out) -> {
				packEnvelopeStart(out, 5, MessageKind.INHERIT_ANSWER.number());
				out.packMapHeader(3).packInt(99).packArrayHeader(1).packString("new").packInt(0).packBoolean(true);
				out.packString("key").packNil().packString("further element");
			});
			assertThat(MessageCodec.decode(bytes).message()).isEqualTo(new PeerMessage.InheritAnswer(true));
		}

		@Test
		void mayAddKindsOfMessages() throws IOException {
			Envelope envelope = MessageCodec.decode(pack((out) -> {
				packEnvelopeStart(out, 4, 12_345);
				out.packNil();
			}));
			assertThat(envelope.problem()).isEqualTo(Problem.UNKNOWN_KIND);
			assertThat(envelope.correlationId()).isEqualTo(CORRELATION_ID);
		}

	}

	@Nested
	class OlderVersions {

		/**
		 * A report of a host that knows nothing of drained domains must not pass for a
		 * set without domains, which would return them to service.
		 */
		@Test
		void reportNoSetOfDrainedDomains() throws IOException {
			byte[] bytes = pack((out) -> {
				packEnvelopeStart(out, 4,
						MessageKind
							.of(new PeerMessage.HostReport(7, false, List.of(), List.of(), false, true, 125, true,
									PeerMessage.HostReport.DRAINS_UNKNOWN, List.of(), List.of()))
							.number());
				out.packMapHeader(2).packInt(0).packLong(7).packInt(6).packInt(375);
			});
			PeerMessage.HostReport report = (PeerMessage.HostReport) MessageCodec.decode(bytes).message();
			assertThat(report.versionNumber()).isEqualTo(7);
			assertThat(report.intervalMillis()).isEqualTo(375);
			assertThat(report.drainsOffset()).isEqualTo(PeerMessage.HostReport.DRAINS_UNKNOWN);
			assertThat(report.drainedDomains()).isEmpty();
		}

	}

	@Nested
	class InvalidBytes {

		@Test
		void missingFieldsMakeAMessageMalformed() throws IOException {
			Envelope envelope = MessageCodec.decode(pack((out) -> {
				packEnvelopeStart(out, 4, MessageKind.FORWARD.number());
				out.packMapHeader(0);
			}));
			assertThat(envelope.problem()).isEqualTo(Problem.MALFORMED);
		}

		@ParameterizedTest
		@MethodSource("org.masticwick.wire.internal.MessageCodecTests#bodiesWithExcessiveLengths")
		void lengthsBeyondTheMessageAreRejected(BytesWriter bytesWriter) throws IOException {
			Envelope envelope = MessageCodec.decode(pack(bytesWriter));
			assertThat(envelope.problem()).isEqualTo(Problem.MALFORMED);
		}

		@Test
		void messagesWithoutEnvelopeAreRejected() {
			assertThatExceptionOfType(MalformedMessageException.class)
				.isThrownBy(() -> MessageCodec.decode(new byte[] { (byte) 0x93, 1, 1, 1 }));
		}

	}

	/**
	 * Writes the bytes of a test case.
	 */
	@FunctionalInterface
	interface BytesWriter {

		void write(MessageBufferPacker out) throws IOException;

	}

}
