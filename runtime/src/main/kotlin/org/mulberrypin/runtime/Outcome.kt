package org.mulberrypin.runtime

/** The result of an operation whose failure the caller is expected to handle. */
public sealed interface Outcome<out Value> {
    /** The operation succeeded with [value]. */
    public data class Success<Value>(
        val value: Value,
    ) : Outcome<Value>

    /** The operation failed with [fault]. */
    public data class Failure(
        val fault: Fault,
    ) : Outcome<Nothing>
}

/** Applies [transform] to the value of a success; returns a failure unchanged. */
public inline fun <Value, Result> Outcome<Value>.map(transform: (Value) -> Result): Outcome<Result> =
    when (this) {
        is Outcome.Success -> Outcome.Success(transform(value))
        is Outcome.Failure -> this
    }

/** Calls [next] with the value of a success; returns a failure unchanged. */
public inline fun <Value, Result> Outcome<Value>.then(next: (Value) -> Outcome<Result>): Outcome<Result> =
    when (this) {
        is Outcome.Success -> next(value)
        is Outcome.Failure -> this
    }
