/** What operators see: status, metrics, health and readiness, and the timeline of events. */
package io.coppershelf.operator;
