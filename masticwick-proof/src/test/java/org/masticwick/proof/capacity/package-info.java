/**
 * Measures the resource usage of a site of real processes, for docs/CAPACITY.md.
 */
package org.masticwick.proof.capacity;
