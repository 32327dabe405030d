package org.masticwick.wire.internal;

import java.util.Arrays;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.masticwick.wire.MalformedMessageException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.internal.Envelope.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MessageCodec} with random, truncated and modified bytes.
 */
class MessageCodecFuzzTests {

	private static final String SEED = "20261203";

	private static byte[] encode(PeerMessage message) {
		return MessageCodec.encode(Envelope.of(Role.REQUEST, 1, message));
	}

	private static void assertDecodedOrRejected(byte[] bytes) {
		try {
			Envelope envelope = MessageCodec.decode(bytes);
			assertThat((envelope.message() == null) ^ (envelope.problem() == null)).isTrue();
		}
		catch (MalformedMessageException ex) {
			assertThat(ex).hasMessageNotContaining("null");
		}
	}

	@Provide
	Arbitrary<PeerMessage> messages() {
		return Arbitraries.of(MessageExamples.all().toList());
	}

	@Property(seed = SEED)
	void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
		assertDecodedOrRejected(bytes);
	}

	@Property(seed = SEED)
	void truncatedMessagesAreDecodedOrRejected(@ForAll("messages") PeerMessage message, @ForAll long cutPosition) {
		byte[] bytes = encode(message);
		byte[] truncated = Arrays.copyOf(bytes, (int) Math.floorMod(cutPosition, (long) bytes.length));
		assertDecodedOrRejected(truncated);
		assertThat(truncated).hasSizeLessThan(bytes.length);
	}

	@Property(seed = SEED)
	void modifiedMessagesAreDecodedOrRejected(@ForAll("messages") PeerMessage message, @ForAll long seed) {
		byte[] bytes = encode(message);
		Random random = new Random(seed);
		random.ints(4, 0, bytes.length).forEach((index) -> bytes[index] = (byte) random.nextInt());
		assertDecodedOrRejected(bytes);
	}

	@Property(seed = SEED)
	void forwardedBodiesArePreserved(@ForAll String ticket, @ForAll byte[] body, @ForAll long waitMillis) {
		PeerMessage.Forward forward = new PeerMessage.Forward(PeerMessage.ForwardOperation.STATE,
				withoutSurrogates(ticket), body, waitMillis);
		assertThat(MessageCodec.decode(encode(forward)).message()).usingRecursiveComparison().isEqualTo(forward);
	}

	private static String withoutSurrogates(String text) {
		return text.codePoints()
			.filter((codePoint) -> codePoint < Character.MIN_SURROGATE || codePoint > Character.MAX_SURROGATE)
			.collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
			.toString();
	}

}
