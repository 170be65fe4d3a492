package io.coppershelf.ticket;

import java.util.List;

/**
 * A numbered change ticket with the complete new state of each object that it touches.
 *
 * @param number the number, from 1; the higher number wins
 * @param objects the state of each object touched, at most one entry an object, in the order of their keys
 */
public record Ticket(long number, List<ObjectState> objects) {
    public Ticket {
        objects = List.copyOf(objects);
    }
}
