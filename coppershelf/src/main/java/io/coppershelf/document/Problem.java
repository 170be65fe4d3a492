package io.coppershelf.document;

/**
 * A problem in a document.
 *
 * @param path the JSON pointer of the value concerned, empty for the whole document
 * @param message what was expected, and what was found
 * @see <a href="https://www.rfc-editor.org/rfc/rfc6901">RFC 6901, JavaScript Object Notation (JSON) Pointer</a>
 */
public record Problem(String path, String message) {
    private static final String ROOT = "(document)";

    @Override
    public String toString() {
        return (path.isEmpty() ? ROOT : path) + ": " + message;
    }
}
