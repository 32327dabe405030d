package org.masticwick.core.request;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs tickets and verifies their message authentication codes (MACs). Each incarnation
 * has its own key, which leaves the process only when a successor assumes ownership of
 * the incarnation's tickets.
 */
public final class TicketKey {

	/** The length of a key, in bytes. */
	public static final int KEY_BYTES = 32;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int MAC_BYTES = 12;

	private final byte[] key;

	private final ThreadLocal<Mac> macs;

	/**
	 * Creates a key from its bytes.
	 * @param key the bytes, {@value #KEY_BYTES} of them
	 * @throws IllegalArgumentException if the length is wrong
	 */
	public TicketKey(byte[] key) {
		if (key.length != KEY_BYTES) {
			throw new IllegalArgumentException("A ticket key must have " + KEY_BYTES + " bytes");
		}
		this.key = key.clone();
		this.macs = ThreadLocal.withInitial(this::createMac);
	}

	/**
	 * Creates a random key.
	 * @return the key
	 */
	public static TicketKey random() {
		byte[] key = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(key);
		return new TicketKey(key);
	}

	/**
	 * Returns the bytes of the key, for a successor.
	 * @return a copy of the bytes
	 */
	public byte[] toBytes() {
		return this.key.clone();
	}

	/**
	 * Returns the ticket with its MAC.
	 * @param ticket the ticket, whose MAC is ignored
	 * @return the signed ticket
	 */
	public Ticket sign(Ticket ticket) {
		return new Ticket(ticket.domain(), ticket.issuerAddress(), ticket.incarnation(), ticket.sequence(),
				ticket.expiryEpochMillis(), Base64.getUrlEncoder().withoutPadding().encodeToString(mac(ticket)));
	}

	/**
	 * Returns whether the MAC of the ticket was computed with this key.
	 * @param ticket the ticket
	 * @return {@code true} if the MAC is valid
	 */
	public boolean verifies(Ticket ticket) {
		return MessageDigest.isEqual(mac(ticket), Base64.getUrlDecoder().decode(ticket.mac()));
	}

	private byte[] mac(Ticket ticket) {
		byte[] full = this.macs.get().doFinal(ticket.signedText().getBytes(StandardCharsets.US_ASCII));
		return Arrays.copyOf(full, MAC_BYTES);
	}

	private Mac createMac() {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(this.key, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("The Java runtime does not provide " + ALGORITHM, ex);
		}
	}

}
