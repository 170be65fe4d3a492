/** The closed list of error kinds and the answer that each of them gives to a caller. */
package io.coppershelf.outcome;
