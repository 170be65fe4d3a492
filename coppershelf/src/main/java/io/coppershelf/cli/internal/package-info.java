/** What the commands share: asking daemons, and laying out what they answer. */
package io.coppershelf.cli.internal;
