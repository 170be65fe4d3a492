/**
 * What the fleet believes of each backend server: how likely it fails requests although it answers probes. Evidence is
 * the outcome of real requests, pooled over all VMs. Pure: observations and times in, probabilities out.
 */
package io.coppershelf.health.estimate;
