/**
 * Entry point of the stand-ins of the platform and of workers.
 */
package org.masticwick.standin;
