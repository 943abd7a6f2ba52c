package org.mulberrypin.command

import kotlinx.serialization.json.JsonObject

/** A JSON document: the file that it was read from, its text, and its fields. */
internal data class Document(
    val source: String,
    val text: String,
    val root: JsonObject,
)
