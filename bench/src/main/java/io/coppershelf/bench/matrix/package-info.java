/** Small worlds in virtual time in which each fault strikes at each step, for the fault matrix. */
package io.coppershelf.bench.matrix;
