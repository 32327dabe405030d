/**
 * Process-wide types: the identity of a process, its clock and its error codes.
 */
package org.masticwick.core.process;
