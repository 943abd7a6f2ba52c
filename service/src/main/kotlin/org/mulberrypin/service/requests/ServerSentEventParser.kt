package org.mulberrypin.service.requests

import org.mulberrypin.runtime.decodeUtf8OrNull
import java.io.ByteArrayOutputStream

/** Extracts the data lines of server-sent events from bytes, up to a line that is not UTF-8. Not thread-safe. */
internal class ServerSentEventParser {
    private val line = ByteArrayOutputStream()

    /** Size of the line that is not complete yet, in bytes. */
    val unfinishedBytes: Int
        get() = line.size()

    /** True once a line was not UTF-8; no line is returned from then on. */
    var isMalformed = false
        private set

    /** Appends bytes and returns the data lines that are now complete, in order. */
    fun append(bytes: ByteArray): List<String> {
        val data = ArrayList<String>()
        for (byte in bytes) {
            if (isMalformed) break
            if (byte == LINE_FEED) completeLine()?.let(data::add) else line.write(byte.toInt())
        }
        return data
    }

    private fun completeLine(): String? {
        val text = line.toByteArray().decodeUtf8OrNull()?.trimEnd('\r')
        line.reset()
        if (text == null) {
            isMalformed = true
            return null
        }
        return if (text.startsWith(DATA_FIELD)) text.removePrefix(DATA_FIELD).trimStart() else null
    }

    private companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val DATA_FIELD = "data:"
    }
}
