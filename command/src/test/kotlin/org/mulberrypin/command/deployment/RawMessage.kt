/** Reads requests and responses from raw connections, strictly: what is no complete message is null or an error. */
package org.mulberrypin.command.deployment

import java.io.IOException
import java.io.InputStream

/** A message with its [first] line, its header fields and the complete text of its body. */
internal data class RawMessage(
    val first: String,
    val fields: List<Pair<String, String>>,
    val body: String,
) {
    fun header(name: String): String? = fields.firstOrNull { it.first == name }?.second
}

/** Reads a message; returns null if the connection ends before its first byte. */
internal fun readMessage(
    input: InputStream,
    isResponse: Boolean,
): RawMessage? {
    val first = readLine(input) ?: return null
    val fields = generateSequence { requireLine(input).takeIf(String::isNotEmpty) }
        .map { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        .toList()
    val message = RawMessage(first, fields, "")
    val length = message.header("content-length")?.toInt()
    val body = when {
        message.header("transfer-encoding") == "chunked" -> readChunks(input)
        length != null -> readExactly(input, length)
        isResponse -> throw IOException("a response without a length")
        else -> ""
    }
    return message.copy(body = body)
}

private fun readChunks(input: InputStream): String {
    val text = StringBuilder()
    while (true) {
        val size = requireLine(input).substringBefore(';').trim().toInt(HEXADECIMAL)
        text.append(readExactly(input, size))
        requireLine(input)
        if (size == 0) return text.toString()
    }
}

private fun readExactly(
    input: InputStream,
    length: Int,
): String {
    val bytes = input.readNBytes(length)
    if (bytes.size < length) throw IOException("a body that breaks off")
    return String(bytes, Charsets.ISO_8859_1)
}

private fun requireLine(input: InputStream): String = readLine(input) ?: throw IOException("a head that breaks off")

private fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().removeSuffix("\r")
        line.append(byte.toChar())
    }
}

private const val HEXADECIMAL = 16
