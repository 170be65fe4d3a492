package io.coppershelf.component;

/**
 * The name and type under which a component registers an interface.
 *
 * @param name the name, unique within a process
 * @param type the registered interface
 * @param <T> the registered interface
 */
public record ComponentKey<T>(String name, Class<T> type) {
    /** Returns the key of the given interface. */
    public static <T> ComponentKey<T> named(String name, Class<T> type) {
        return new ComponentKey<>(name, type);
    }
}
