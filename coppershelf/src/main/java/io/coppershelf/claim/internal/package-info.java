/** State machines of the claims on idempotency keys: holder, requester, transfer. Pure decisions. */
package io.coppershelf.claim.internal;
