package io.coppershelf.bench.decisions;

/**
 * A row of a result table.
 *
 * @param table the name of the experiment
 * @param customer the customer
 * @param fault the fault
 * @param load the load as a share of the capacity of the slots
 * @param policy the measured policy
 * @param result the figures over all services and seeds
 */
record Row(String table, Customer customer, Fault fault, double load, Policy policy, RunResult result) {}
