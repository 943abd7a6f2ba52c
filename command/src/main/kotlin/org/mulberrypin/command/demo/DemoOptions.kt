package org.mulberrypin.command.demo

import org.mulberrypin.command.CommandOptions

/** Options of `demo`, which has none. */
internal class DemoOptions : CommandOptions
