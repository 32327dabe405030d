/**
 * Steps about the site as a whole: endpoints, planned stops, release notes and cuts.
 */
package org.masticwick.proof.site;
