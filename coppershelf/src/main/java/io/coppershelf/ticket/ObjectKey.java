package io.coppershelf.ticket;

/**
 * The identity of a configured object.
 *
 * @param type the type
 * @param name the name, unique within the type
 */
public record ObjectKey(ObjectType type, String name) implements Comparable<ObjectKey> {
    @Override
    public int compareTo(ObjectKey other) {
        int byType = type.compareTo(other.type);
        return byType != 0 ? byType : name.compareTo(other.name);
    }
}
