package io.coppershelf.component;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The services of a process by name. Safe for use by several threads.
 *
 * <pre>{@code
 * registry.register(ControlThread.NAME, controlThread);
 * ControlThread control = registry.require(ControlThread.NAME);
 * }</pre>
 */
public final class ComponentRegistry {
    private final ConcurrentMap<String, Object> services = new ConcurrentHashMap<>();

    /**
     * Registers a service.
     *
     * @throws IllegalStateException if the name is taken
     */
    public <T> void register(ComponentKey<T> name, T service) {
        Object present = services.putIfAbsent(name.name(), name.type().cast(service));
        if (present != null) {
            throw new IllegalStateException("service \"" + name.name() + "\" is already registered");
        }
    }

    /** Returns the service of the given name, empty if there is none. */
    public <T> Optional<T> find(ComponentKey<T> name) {
        return Optional.ofNullable(services.get(name.name())).map(name.type()::cast);
    }

    /**
     * Returns the service of the given name.
     *
     * @throws CoppershelfException with {@link ErrorKind#SERVICE_MISSING} if there is none
     */
    public <T> T require(ComponentKey<T> name) {
        return find(name)
                .orElseThrow(() -> CoppershelfException.of(
                        ErrorKind.SERVICE_MISSING, "no service named \"" + name.name() + "\" is registered"));
    }
}
