package io.coppershelf.peer;

/** A typed message between two processes of the fleet; implementations are records. */
public interface PeerMessage {}
