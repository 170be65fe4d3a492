/** State machines of the ejection rights: voters, the granter of a service and holders. Pure decisions. */
package io.coppershelf.floor.internal;
