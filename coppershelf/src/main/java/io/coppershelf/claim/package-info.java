/** Claims on idempotency keys, so that a request repeated by its caller is not run twice. */
package io.coppershelf.claim;
