package org.masticwick.fleet.process;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.version.InvalidRecordException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that {@link MemberRecord} and {@link ClaimRecord} either return a value within
 * their bounds or throw {@link InvalidRecordException} for bytes of another writer.
 */
class MemberRecordMutationTests {

	private static final String SEED = "20261205";

	private static final MemberRecord MEMBER = member("10.0.0.1", 500);

	private static MemberRecord member(String ip, int processorMillicores) {
		return new MemberRecord("host-1", "d1", new HostAddress(ip, 80), new Incarnation(5, 6), processorMillicores);
	}

	private static byte[] mutate(byte[] bytes, long seed) {
		Random random = new Random(seed);
		random.ints(random.nextInt(4), 0, bytes.length).forEach((index) -> bytes[index] = (byte) random.nextInt());
		return random.nextBoolean() ? bytes : Arrays.copyOf(bytes, random.nextInt(bytes.length));
	}

	private static <T> void decode(Function<byte[], T> decoder, byte[] bytes, Consumer<T> check) {
		T value;
		try {
			value = decoder.apply(bytes);
		}
		catch (InvalidRecordException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(300);
			return;
		}
		check.accept(value);
	}

	private static void assertValid(MemberRecord member) {
		assertThat(member.peerAddress().hasNumericIp()).isTrue();
		assertThat(member.processorMillicores()).isNotNegative();
	}

	@Property(seed = SEED)
	void membersAreDecodedOrRejected(@ForAll long seed) {
		decode(MemberRecord::read, mutate(MEMBER.toBytes(), seed), MemberRecordMutationTests::assertValid);
	}

	@Property(seed = SEED)
	void claimsAreDecodedOrRejected(@ForAll long seed) {
		byte[] bytes = mutate(new ClaimRecord(MEMBER, List.of("a", "b")).toBytes(), seed);
		decode(ClaimRecord::read, bytes, (claim) -> assertValid(claim.owner()));
	}

	@Property(seed = SEED)
	void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
		decode(MemberRecord::read, bytes, MemberRecordMutationTests::assertValid);
		decode(ClaimRecord::read, bytes, (claim) -> assertValid(claim.owner()));
	}

	/**
	 * A host name would be looked up on the event loop that connects to the member.
	 */
	@Example
	void membersWithHostNamesAreRejected() {
		assertThatThrownBy(() -> MemberRecord.read(member("host.example", 500).toBytes()))
			.isInstanceOf(InvalidRecordException.class);
	}

	@Example
	void membersWithAbsurdCapacityAreRejected() {
		assertThatThrownBy(() -> MemberRecord.read(member("10.0.0.1", -1).toBytes()))
			.isInstanceOf(InvalidRecordException.class);
		assertThatThrownBy(() -> MemberRecord.read(member("10.0.0.1", Integer.MAX_VALUE).toBytes()))
			.isInstanceOf(InvalidRecordException.class);
	}

}
