/** Reads JSON documents strictly and checks them against a JSON schema, naming every problem with its path. */
package io.coppershelf.document;
