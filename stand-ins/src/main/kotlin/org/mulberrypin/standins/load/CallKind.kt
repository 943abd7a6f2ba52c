package org.mulberrypin.standins.load

/** Kind of request that a caller sends. */
public enum class CallKind {
    /** A completion that is returned in one response. */
    INTERACTIVE,

    /** A completion that is streamed. */
    STREAMED,

    /** A write to a plain service without an idempotency key; it is retried only if it was not run. */
    WRITE,

    /** A write to a plain service with an idempotency key. */
    KEYED_WRITE,
}
