package org.mulberrypin.decisions.explanations

/** Who asks for explanations. */
public sealed interface Asker {
    /** An operator, who sees the records of all teams. */
    public data object Operator : Asker

    /** A caller, who sees the records of the caller's own team. */
    public data class TeamMember(
        val team: String,
    ) : Asker
}
