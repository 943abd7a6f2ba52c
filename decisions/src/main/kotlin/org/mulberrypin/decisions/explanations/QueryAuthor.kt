package org.mulberrypin.decisions.explanations

/** The author of a query, who determines which records the result may contain. */
public sealed interface QueryAuthor {
    /** An operator, who may read the records of all teams. */
    public data object Operator : QueryAuthor

    /** A caller, who may read only the records of [team]. */
    public data class TeamMember(
        val team: String,
    ) : QueryAuthor
}
