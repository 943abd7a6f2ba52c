package org.mulberrypin.standins.engine

import org.mulberrypin.standins.StandInServer

/** The listening port of an engine, which keeps its number across crashes and restarts. */
internal class EnginePort(
    port: Int,
    private val startServer: (port: Int) -> StandInServer,
) {
    private var server: StandInServer? = startServer(port)

    /** Host and port, valid also while the port is closed. */
    val address: String = checkNotNull(server).address

    @Synchronized
    fun open() {
        if (server == null) server = startServer(address.substringAfterLast(':').toInt())
    }

    @Synchronized
    fun close() {
        server?.stop?.invoke()
        server = null
    }
}
