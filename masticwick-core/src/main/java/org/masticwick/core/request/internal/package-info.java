/**
 * The parts of the scheduler: queue order, placement, admission, run-time estimation and
 * health of endpoints. Not for use outside of this module.
 */
package org.masticwick.core.request.internal;
