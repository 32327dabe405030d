package org.masticwick.daemon.request;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Computes the digest by which the bodies of two submissions are compared.
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
