/** Measures what each object, VM, request and ticket costs a daemon, at several sizes, and fits a line. */
package io.coppershelf.bench.slopes;
