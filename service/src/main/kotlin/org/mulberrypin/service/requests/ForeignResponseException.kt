package org.mulberrypin.service.requests

/** A response that does not repeat the identifier of its request; the request may have run. */
internal class ForeignResponseException : RuntimeException("The response does not name its request.")
