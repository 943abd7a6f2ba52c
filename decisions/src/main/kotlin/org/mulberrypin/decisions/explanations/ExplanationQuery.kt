package org.mulberrypin.decisions.explanations

/**
 * A question for explanations.
 *
 * @property subject what the decisions were about, such as "request"
 * @property name name of the request, sample, order or report; empty asks for the newest of the subject
 */
public data class ExplanationQuery(
    val subject: String,
    val name: String,
    val asker: Asker,
)
