package io.coppershelf.quota;

import java.time.Duration;

/**
 * Why a request got no token.
 *
 * @param isOverCap whether a granter answered that no tokens are left; else no granter answered
 * @param retryAfter the time after which the caller may try again
 * @param tokens the number of tokens that this VM holds for the tenant
 * @param shareAge the time since the last answer of a granter, zero if there was none
 */
public record Refusal(boolean isOverCap, Duration retryAfter, int tokens, Duration shareAge) {}
