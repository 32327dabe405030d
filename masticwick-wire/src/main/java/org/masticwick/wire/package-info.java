/**
 * Messages between entry hosts and the TCP transport that carries them.
 */
package org.masticwick.wire;
