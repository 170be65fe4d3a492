package io.coppershelf.catalog;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the share in proportion to the weights of the other services of the route, not negative
 */
public record WeightedService(String service, double weight) {}
