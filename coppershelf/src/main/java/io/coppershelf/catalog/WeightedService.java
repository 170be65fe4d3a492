package io.coppershelf.catalog;

/**
 * A share of the requests of a route.
 *
 * @param service the name of the service that gets the share
 * @param weight the share in proportion to the weights of the other parts, not negative
 */
public record WeightedService(String service, double weight) {}
