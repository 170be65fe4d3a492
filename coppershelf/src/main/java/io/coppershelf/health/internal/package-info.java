/** The detectors and limits by which a group's health is judged. Evidence is counted in nats. */
package io.coppershelf.health.internal;
