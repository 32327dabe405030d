/**
 * What lives as long as the process: membership, ownership of pools, assembly.
 */
package org.masticwick.fleet.process;
