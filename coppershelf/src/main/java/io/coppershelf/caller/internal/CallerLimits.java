package io.coppershelf.caller.internal;

import java.time.Duration;

/**
 * The limits on what a caller may send.
 *
 * @param largestHead the largest head in bytes
 * @param bodyTimeout the longest time that a body may take to arrive
 */
record CallerLimits(int largestHead, Duration bodyTimeout) {}
