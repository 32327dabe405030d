/**
 * Objects with the lifetime of a process: the simulated platform, the simulated workers
 * and their faults.
 */
package org.masticwick.standin.process;
