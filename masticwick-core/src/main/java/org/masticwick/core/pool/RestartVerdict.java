package org.masticwick.core.pool;

/**
 * Whether a task may be started again after endpoints were lost under it.
 */
public enum RestartVerdict {

	/** The task may be started. */
	START,

	/** The task waits until it is known whether the lost endpoints have crashed. */
	WAIT,

	/** The task has crashed its endpoints and is not started again. */
	GIVE_UP

}
