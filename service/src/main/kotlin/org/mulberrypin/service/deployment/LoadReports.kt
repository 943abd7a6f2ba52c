package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.work.LoadReport
import org.mulberrypin.platform.deployment.ServerLoad

/** Converts the load of a backend server's answer for the decisions. */
internal fun loadReport(load: ServerLoad): LoadReport =
    LoadReport(load.running, load.waiting, load.slots, load.slownessPercent)
