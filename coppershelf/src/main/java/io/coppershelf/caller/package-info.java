/** Takes callers' HTTP/1.1 requests, checks them, and gives whole answers. */
package io.coppershelf.caller;
