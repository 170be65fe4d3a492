/** The state machine of membership, its messages and the snapshot that it publishes. */
package io.coppershelf.membership.internal;
