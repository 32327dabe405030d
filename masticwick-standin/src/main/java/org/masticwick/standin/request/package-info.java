/**
 * Objects with the lifetime of a request: the tasks of a simulated worker and the
 * outcomes of starting them.
 */
package org.masticwick.standin.request;
