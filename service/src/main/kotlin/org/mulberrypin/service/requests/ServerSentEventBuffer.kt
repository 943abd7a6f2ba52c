package org.mulberrypin.service.requests

import java.io.ByteArrayOutputStream

/** Cuts a stream of bytes into the data of its server-sent events. Not safe for use by several threads at once. */
internal class ServerSentEventBuffer {
    private val line = ByteArrayOutputStream()

    /** Adds bytes and answers the data lines that they complete, in order. */
    fun add(bytes: ByteArray): List<String> {
        val data = ArrayList<String>()
        for (byte in bytes) {
            if (byte == LINE_END) takeLine()?.let(data::add) else line.write(byte.toInt())
        }
        return data
    }

    private fun takeLine(): String? {
        val text = line.toString(Charsets.UTF_8).trimEnd('\r')
        line.reset()
        return if (text.startsWith(DATA_FIELD)) text.removePrefix(DATA_FIELD).trimStart() else null
    }

    private companion object {
        private const val LINE_END = '\n'.code.toByte()
        private const val DATA_FIELD = "data:"
    }
}
