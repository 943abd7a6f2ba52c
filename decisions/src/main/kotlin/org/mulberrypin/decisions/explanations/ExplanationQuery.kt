package org.mulberrypin.decisions.explanations

/**
 * A query for explanations of decisions.
 *
 * @property subject type of the object that the decisions concern, such as "request"
 * @property name name of the request, sample, order or report; empty selects the newest records of the subject
 * @property author the author of the query
 */
public data class ExplanationQuery(
    val subject: String,
    val name: String,
    val author: QueryAuthor,
)
