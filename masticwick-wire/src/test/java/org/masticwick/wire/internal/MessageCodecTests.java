package org.masticwick.wire.internal;

import java.io.IOException;
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

	private static final long ID = 77;

	private byte[] encode(PeerMessage message) {
		return MessageCodec.encode(Envelope.of(Role.REQUEST, ID, message));
	}

	private static byte[] pack(Content content) throws IOException {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			content.write(out);
			return out.toByteArray();
		}
	}

	private static void packHead(MessageBufferPacker out, int elementCount, int kind) throws IOException {
		out.packArrayHeader(elementCount).packInt(kind).packInt(Role.REQUEST.ordinal()).packLong(ID);
	}

	static Stream<PeerMessage> examples() {
		return Examples.all();
	}

	static Stream<Content> hostileBodies() {
		return Stream.of((out) -> {
			packHead(out, 4, MessageKind.CLOSE_TICKETS.number());
			out.packMapHeader(1).packInt(0).packArrayHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packHead(out, 4, MessageKind.ERROR_ANSWER.number());
			out.packMapHeader(1).packInt(0).packRawStringHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packHead(out, 4, MessageKind.INHERIT_TICKETS.number());
			out.packMapHeader(1).packInt(3).packBinaryHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packHead(out, 4, MessageKind.PING.number());
			out.packMapHeader(Integer.MAX_VALUE);
		}, (out) -> {
			packHead(out, 4, MessageKind.PING.number());
			out.packMapHeader(1).packInt(50).packArrayHeader(Integer.MAX_VALUE);
		});
	}

	@Nested
	class RoundTrips {

		@ParameterizedTest
		@MethodSource("org.masticwick.wire.internal.MessageCodecTests#examples")
		void keepMessageRoleAndId(PeerMessage message) {
			Envelope envelope = MessageCodec.decode(encode(message));
			assertThat(envelope.problem()).isNull();
			assertThat(envelope.role()).isEqualTo(Role.REQUEST);
			assertThat(envelope.correlationId()).isEqualTo(ID);
			assertThat(envelope.message()).usingRecursiveComparison().isEqualTo(message);
		}

		@ParameterizedTest
		@EnumSource
		void haveAnExampleOfEachKind(MessageKind kind) {
			assertThat(examples().map(MessageKind::of)).contains(kind);
		}

	}

	@Nested
	class OtherVersions {

		@Test
		void mayAddFieldsAndElements() throws IOException {
			byte[] bytes = pack((out) -> {
				packHead(out, 5, MessageKind.INHERIT_ANSWER.number());
				out.packMapHeader(3).packInt(99).packArrayHeader(1).packString("new").packInt(0).packBoolean(true);
				out.packString("key").packNil().packString("further element");
			});
			assertThat(MessageCodec.decode(bytes).message()).isEqualTo(new PeerMessage.InheritAnswer(true));
		}

		@Test
		void mayAddKindsOfMessages() throws IOException {
			Envelope envelope = MessageCodec.decode(pack((out) -> {
				packHead(out, 4, 12_345);
				out.packNil();
			}));
			assertThat(envelope.problem()).isEqualTo(Problem.UNKNOWN_KIND);
			assertThat(envelope.correlationId()).isEqualTo(ID);
		}

	}

	@Nested
	class HostileBytes {

		@Test
		void missingFieldsMakeAMessageMalformed() throws IOException {
			Envelope envelope = MessageCodec.decode(pack((out) -> {
				packHead(out, 4, MessageKind.FORWARD.number());
				out.packMapHeader(0);
			}));
			assertThat(envelope.problem()).isEqualTo(Problem.MALFORMED);
		}

		@ParameterizedTest
		@MethodSource("org.masticwick.wire.internal.MessageCodecTests#hostileBodies")
		void lengthsBeyondTheMessageAreNotBelieved(Content body) throws IOException {
			Envelope envelope = MessageCodec.decode(pack(body));
			assertThat(envelope.problem()).isEqualTo(Problem.MALFORMED);
		}

		@Test
		void messagesWithoutEnvelopeAreRefused() {
			assertThatExceptionOfType(MalformedMessageException.class)
				.isThrownBy(() -> MessageCodec.decode(new byte[] { (byte) 0x93, 1, 1, 1 }));
		}

	}

	/**
	 * Writes the bytes of a case.
	 */
	@FunctionalInterface
	interface Content {

		void write(MessageBufferPacker out) throws IOException;

	}

}
