/** Stand-ins, load generator and measurements; not part of the shipped jar. */
package io.coppershelf.bench;
