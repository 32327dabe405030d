/**
 * Measures what a site of real processes costs, for docs/CAPACITY.md.
 */
package org.masticwick.proof.capacity;
