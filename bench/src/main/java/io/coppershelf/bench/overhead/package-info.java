/** Measures what a daemon adds to a request, and where it saturates. */
package io.coppershelf.bench.overhead;
