/**
 * The entry host for sites whose endpoints run tasks under leases and obey one owner at a
 * time.
 */
package org.masticwick.fleet;
