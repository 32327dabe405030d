package org.masticwick.daemon.process;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown if an entry host can't start for a reason that the operator can correct.
 */
public class StartFailedException extends MasticwickException {

	/**
	 * Creates an error about an address on which the host can't listen.
	 * @param key the key of the address in the settings
	 * @param address the address
	 * @param cause the error; the message of its root cause is reported
	 */
	public StartFailedException(String key, String address, Throwable cause) {
		super(ErrorCode.START_FAILED, key + ": can't listen on " + address + ": " + reason(cause), cause);
	}

	private static String reason(Throwable cause) {
		Throwable root = cause;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return root.getMessage();
	}

}
