/** What operators see: status, metrics, health and readiness, and the time line of events. */
package io.coppershelf.operator;
