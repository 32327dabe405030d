package org.masticwick.daemon.request;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Tells whether two bodies are the same.
 */
final class BodyDigest {

	private static final String ALGORITHM = "SHA-256";

	private BodyDigest() {
	}

	static byte[] of(byte[] body) {
		try {
			return MessageDigest.getInstance(ALGORITHM).digest(body);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("The platform lacks " + ALGORITHM, ex);
		}
	}

}
