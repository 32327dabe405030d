package org.masticwick.core.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Makes short digests of text.
 */
final class Digests {

	private static final int LENGTH_BYTES = 16;

	private Digests() {
	}

	/**
	 * Digests texts one after the other.
	 * @param texts the texts
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
			throw new IllegalStateException("Every Java runtime has SHA-256", ex);
		}
	}

}
