package org.mulberrypin.service.configuration

import org.mulberrypin.service.peers.PeerClient

/** Peers that never respond; tests replace the calls that they need. */
internal fun silentPeers(): PeerClient =
    PeerClient(
        announce = { _, _, _, _ -> },
        runGroup = { _, _, _, _ -> },
        nextBatch = { _, _, _, _ -> },
        explain = { _, _, _, _ -> },
        reportCrash = { _, _, _, _ -> },
        copyUsage = { _, _, _, _ -> },
        countEvents = { _, _, _, _ -> },
    )
