package org.mulberrypin.service.requests

import java.io.ByteArrayOutputStream

/** Extracts the data lines of server-sent events from a byte stream. Not thread-safe. */
internal class ServerSentEventParser {
    private val line = ByteArrayOutputStream()

    /** Size of the line that is not complete yet, in bytes. */
    val unfinishedBytes: Int
        get() = line.size()

    /** Appends bytes and returns the data lines that are now complete, in order. */
    fun append(bytes: ByteArray): List<String> {
        val data = ArrayList<String>()
        for (byte in bytes) {
            if (byte == LINE_FEED) completeLine()?.let(data::add) else line.write(byte.toInt())
        }
        return data
    }

    private fun completeLine(): String? {
        val text = line.toString(Charsets.UTF_8).trimEnd('\r')
        line.reset()
        return if (text.startsWith(DATA_FIELD)) text.removePrefix(DATA_FIELD).trimStart() else null
    }

    private companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val DATA_FIELD = "data:"
    }
}
