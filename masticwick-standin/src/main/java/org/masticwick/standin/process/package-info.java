/**
 * What lives as long as a process: the platform, the workers and their faults.
 */
package org.masticwick.standin.process;
