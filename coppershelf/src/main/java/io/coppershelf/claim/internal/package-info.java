/** Claims on idempotency keys: the state of a holder, the requester, and the transfer between holders. */
package io.coppershelf.claim.internal;
