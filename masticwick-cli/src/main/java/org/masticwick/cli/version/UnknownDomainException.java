package org.masticwick.cli.version;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when an operator names a failure domain that no capacity of the active version
 * has. Nothing was published.
 */
public class UnknownDomainException extends MasticwickException {

	/**
	 * Creates an exception.
	 * @param message the domain, the version and the domains that its capacities name
	 */
	public UnknownDomainException(String message) {
		super(ErrorCode.INVALID_REQUEST, message);
	}

}
