package io.coppershelf.ticket;

/**
 * A service for which the fleet is the proxy.
 *
 * @param name the name, such as {@code rotavis}
 * @param floor the minimum number of backend servers that must stay in service
 * @param detectionWeight how detection time weighs against false ejections, from 0 (avoid false ejections) to 1 (detect
 *     soon)
 */
public record ServiceSpec(String name, int floor, double detectionWeight) implements ObjectSpec {
    @Override
    public ObjectKey key() {
        return new ObjectKey(ObjectType.SERVICE, name);
    }
}
