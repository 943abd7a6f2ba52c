package org.mulberrypin.command

import org.junit.jupiter.api.Test
import org.kohsuke.args4j.CmdLineParser
import org.mulberrypin.decisions.capacity.CapacityMode
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EntryOptionsTest {
    @Test
    fun `orders nothing unless told otherwise`() {
        expectThat(EntryOptions().engineOrders).isEqualTo(CapacityMode.OFF)
        expectThat(parsed("replace")).isEqualTo(CapacityMode.REPLACE)
        expectThat(parsed("off")).isEqualTo(CapacityMode.OFF)
        expectThat(parsed("demand")).isEqualTo(CapacityMode.DEMAND)
    }

    private fun parsed(what: String): CapacityMode {
        val options = EntryOptions()
        CmdLineParser(options).parseArgument("--engine-orders", what)
        return options.engineOrders
    }
}
