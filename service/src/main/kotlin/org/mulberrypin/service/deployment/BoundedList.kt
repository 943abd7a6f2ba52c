package org.mulberrypin.service.deployment

/** Joins the first of [items] for a log line and states how many more there are. */
internal fun boundedList(items: List<String>): String {
    val more = items.size - MAX_LISTED_ITEMS
    val listed = items.take(MAX_LISTED_ITEMS).joinToString(" ")
    return if (more > 0) "$listed and $more more" else listed
}

/** Maximum number of items that a log line lists. */
private const val MAX_LISTED_ITEMS = 8
