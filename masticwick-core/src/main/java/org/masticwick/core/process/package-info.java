/**
 * What lives as long as a process: its identity, its clock and the codes of its errors.
 */
package org.masticwick.core.process;
