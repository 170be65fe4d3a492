/** Claims on idempotency keys, so that a request that its caller retries does not run twice. */
package io.coppershelf.claim;
