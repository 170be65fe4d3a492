package io.coppershelf.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a request got no token.
 *
 * @param isOverCap whether a granter answered that no tokens are left; else no granter answered
 * @param retryAfter the time after which the caller may try again
 * @param tokens the number of tokens that this VM holds for the tenant
 * @param shareAge the time since the last grant or denial of a granter, empty if there was none
 */
public record Refusal(boolean isOverCap, Duration retryAfter, int tokens, Optional<Duration> shareAge) {}
