/**
 * Starts real processes for the fault cases and puts faults between them.
 */
package org.masticwick.proof.support;
