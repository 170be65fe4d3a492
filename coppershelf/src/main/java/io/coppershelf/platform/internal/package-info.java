/** Reading the platform over HTTP: bounded answers, strict reading, backoff after failures. */
package io.coppershelf.platform.internal;
