/** Fakes and helpers that the tests of several packages share. */
package io.coppershelf.testing;
