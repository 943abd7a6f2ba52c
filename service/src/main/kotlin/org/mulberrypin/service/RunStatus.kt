/** The values of the field `run` in HTTP error responses, which states whether the request may have run. */
package org.mulberrypin.service

/** No byte of the request can have reached a backend server, or the backend server reported that it did not run it. */
internal const val NOT_RUN = "not_run"

/** The request may have run. */
internal const val MAY_HAVE_RUN = "may_have_run"
