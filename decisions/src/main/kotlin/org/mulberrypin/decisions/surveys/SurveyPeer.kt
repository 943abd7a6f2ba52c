package org.mulberrypin.decisions.surveys

/**
 * A peer to which surveys are sent.
 *
 * @property address address for requests from other instances, as host:port
 */
public data class SurveyPeer(
    val name: String,
    val address: String,
)
