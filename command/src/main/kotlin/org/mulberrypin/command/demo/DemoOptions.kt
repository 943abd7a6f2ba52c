package org.mulberrypin.command.demo

import org.mulberrypin.command.CommandOptions

/** Options of `demo`; there are none. */
internal class DemoOptions : CommandOptions
