/** State machines of the ejection grants: voters, the granter of a service and holders. They do no input or output. */
package io.coppershelf.floor.internal;
