/**
 * Admission control while a service is short of capacity: which requests are sent to servers and which are refused at
 * once, by urgency, deadline and work. Free of I/O and clocks: requests, loads and times in, decisions out.
 */
package io.coppershelf.overload;
