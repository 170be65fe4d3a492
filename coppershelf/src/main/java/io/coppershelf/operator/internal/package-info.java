/** The operators' HTTP server, the time line of this process, its clock and the form of log lines. */
package io.coppershelf.operator.internal;
