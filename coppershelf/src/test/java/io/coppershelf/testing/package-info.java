/** Fakes at the interfaces, for the tests of several packages. */
package io.coppershelf.testing;
