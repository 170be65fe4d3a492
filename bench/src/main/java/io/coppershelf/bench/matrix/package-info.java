/** Small simulations in virtual time for the fault matrix, which injects each fault at each step. */
package io.coppershelf.bench.matrix;
