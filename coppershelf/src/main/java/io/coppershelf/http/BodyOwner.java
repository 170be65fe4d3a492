package io.coppershelf.http;

/** The connection that a body is read from or written to. */
public interface BodyOwner {
    /** An owner that can't be paused or closed. */
    BodyOwner NONE = new BodyOwner() {
        @Override
        public void setReading(boolean isReading) {
            // Nothing is read.
        }

        @Override
        public void closeForMemory() {
            // There is no connection.
        }
    };

    /** Stops reading the body, or continues. */
    void setReading(boolean isReading);

    /** Ends the transfer of the body because its memory is needed. */
    void closeForMemory();
}
