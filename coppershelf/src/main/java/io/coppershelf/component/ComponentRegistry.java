package io.coppershelf.component;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The interfaces that the components of a process provide, by key. Thread-safe.
 *
 * <pre>{@code
 * registry.register(ControlThread.NAME, controlThread);
 * ControlThread control = registry.require(ControlThread.NAME);
 * }</pre>
 */
public final class ComponentRegistry {
    private final ConcurrentMap<String, Object> implementations = new ConcurrentHashMap<>();

    /**
     * Registers the implementation of an interface.
     *
     * @throws IllegalStateException if the name is already registered
     */
    public <T> void register(ComponentKey<T> key, T implementation) {
        Object present = implementations.putIfAbsent(key.name(), key.type().cast(implementation));
        if (present != null) {
            throw new IllegalStateException("component \"" + key.name() + "\" is already registered");
        }
    }

    /** Returns the implementation that is registered under the given key, empty if there is none. */
    public <T> Optional<T> find(ComponentKey<T> key) {
        return Optional.ofNullable(implementations.get(key.name())).map(key.type()::cast);
    }

    /**
     * Returns the implementation that is registered under the given key.
     *
     * @throws CoppershelfException with {@link ErrorKind#SERVICE_MISSING} if there is none
     */
    public <T> T require(ComponentKey<T> key) {
        return find(key)
                .orElseThrow(() -> CoppershelfException.of(
                        ErrorKind.SERVICE_MISSING, "no component named \"" + key.name() + "\" is registered"));
    }
}
