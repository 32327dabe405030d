package org.masticwick.core.pool;

/**
 * How much the answer to the registration of a job proves.
 */
public enum RegistrationScope {

	/** No other owner of the site runs the job. */
	SITE,

	/**
	 * The answering owner neither runs the job nor has registered it for another one. All
	 * owners must be asked, as some may have run it without this one's knowledge.
	 */
	OWNER,

	/** It is open whether the job runs elsewhere. The registration must be repeated. */
	UNDECIDED,

	/**
	 * An earlier copy went to an owner that can't take this one now. The registration
	 * must be repeated, and the job must not start meanwhile.
	 */
	COPY_EXISTS;

	/**
	 * Returns whether the answer tells where the job runs, as far as it goes.
	 * @return {@code false} if the registration must be repeated
	 */
	public boolean isDecided() {
		return this == SITE || this == OWNER;
	}

}
