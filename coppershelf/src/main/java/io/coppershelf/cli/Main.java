package io.coppershelf.cli;

/** Entry point of the executable jar. */
public final class Main {
    private Main() {}

    /**
     * Runs one command.
     *
     * @param args the words of the command line
     */
    public static void main(String[] args) {
        System.out.println("coppershelf");
    }
}
