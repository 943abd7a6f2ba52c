package org.mulberrypin.standins.load

/** What a caller asks for. */
public enum class CallKind {
    /** A completion that is answered at once. */
    INTERACTIVE,

    /** A completion that is streamed. */
    STREAMED,

    /** A write to a plain service without an idempotency key; it is sent again only when it was not run. */
    WRITE,

    /** A write to a plain service under an idempotency key. */
    KEYED_WRITE,
}
