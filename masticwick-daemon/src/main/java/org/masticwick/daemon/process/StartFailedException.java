package org.masticwick.daemon.process;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that an entry host can't start, for a reason that the operator can mend.
 */
public class StartFailedException extends MasticwickException {

	/**
	 * Creates an error about an address at which the host can't listen.
	 * @param key the key of the address in the settings
	 * @param address the address
	 * @param cause what went wrong
	 */
	public StartFailedException(String key, String address, Throwable cause) {
		super(ErrorCode.START_FAILED, key + ": can't listen at " + address + ": " + reason(cause), cause);
	}

	private static String reason(Throwable cause) {
		Throwable root = cause;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return root.getMessage();
	}

}
