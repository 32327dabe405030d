/**
 * The entry host for sites whose endpoints run tasks under leases and accept commands
 * from one owner at a time.
 */
package org.masticwick.fleet;
