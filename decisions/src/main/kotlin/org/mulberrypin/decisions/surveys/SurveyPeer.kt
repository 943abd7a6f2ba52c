package org.mulberrypin.decisions.surveys

/**
 * A peer that surveys ask.
 *
 * @property address where the peer is reached by other instances, as host:port
 */
public data class SurveyPeer(
    val name: String,
    val address: String,
)
