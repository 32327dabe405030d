/**
 * Load generator and experiment runner: sends reproducible open-loop arrivals, compares
 * response times with their lower bound, counts messages and checks the dispatcher's
 * guarantees.
 */
package org.masticwick.cli.load;
