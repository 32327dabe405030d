/**
 * Steps of the features on the site as a whole: endpoints, planned shutdowns, release
 * notes and network partitions.
 */
package org.masticwick.proof.site;
