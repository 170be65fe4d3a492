package io.coppershelf.bench.decisions;

/**
 * A row of a table.
 *
 * @param table the table
 * @param customer the customer
 * @param fault the fault
 * @param load the load as a share of what the slots can carry
 * @param policy the decisions
 * @param result the figures over all services and seeds
 */
record Row(String table, Customer customer, Fault fault, double load, Policy policy, RunResult result) {}
