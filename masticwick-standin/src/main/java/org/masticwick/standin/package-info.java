/**
 * Entry point of the stand-ins, which simulate the platform and the workers for tests and
 * demonstrations.
 */
package org.masticwick.standin;
