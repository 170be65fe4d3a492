package io.coppershelf.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete answer.
 *
 * @param status the status code
 * @param headers the headers as received
 * @param body the complete body
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {}
