/**
 * Objects with the lifetime of a caller's request, and the format of its bodies.
 */
package org.masticwick.fleet.request;
