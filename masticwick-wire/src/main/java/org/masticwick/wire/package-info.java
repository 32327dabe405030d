/**
 * Messages between entry hosts, and the TCP transport that exchanges them.
 */
package org.masticwick.wire;
