package org.masticwick.core.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes truncated SHA-256 digests of text.
 */
final class Digests {

	private static final int LENGTH_BYTES = 16;

	private Digests() {
	}

	/**
	 * Returns the digest of a sequence of texts, each followed by a zero byte so that
	 * their boundaries count.
	 * @param texts the texts, digested in this order as UTF-8
	 * @return the first {@value #LENGTH_BYTES} bytes of SHA-256 in hexadecimal
	 */
	static String of(String... texts) {
		MessageDigest digest = sha256();
		for (String text : texts) {
			digest.update(text.getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
		}
		return HexFormat.of().formatHex(digest.digest(), 0, LENGTH_BYTES);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(
					"SHA-256 is missing from this Java runtime, although every Java platform must provide it", ex);
		}
	}

}
