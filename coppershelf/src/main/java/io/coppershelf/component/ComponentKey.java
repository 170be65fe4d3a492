package io.coppershelf.component;

/**
 * The name and type under which a service is registered.
 *
 * @param name the name, unique within a process
 * @param type the interface that the service offers
 * @param <T> the interface that the service offers
 */
public record ComponentKey<T>(String name, Class<T> type) {
    /** Returns the name of a service with the given interface. */
    public static <T> ComponentKey<T> named(String name, Class<T> type) {
        return new ComponentKey<>(name, type);
    }
}
