/**
 * The load and experiment tool: seeded open-loop arrivals, response times against the
 * ideal, messages and checks of the promises.
 */
package org.masticwick.cli.load;
