/** The operators' HTTP server, the timeline of this process, its clock and the format of log lines. */
package io.coppershelf.operator.internal;
