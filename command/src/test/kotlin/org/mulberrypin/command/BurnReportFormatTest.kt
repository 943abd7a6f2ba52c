package org.mulberrypin.command

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.BurnAlarm
import org.mulberrypin.schema.generated.BurnHour
import org.mulberrypin.schema.generated.BurnLine
import org.mulberrypin.schema.generated.BurnReport
import org.mulberrypin.schema.generated.BurnWindow
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayInputStream
import java.util.Base64
import javax.imageio.ImageIO

@DisplayName("Burn report formats")
class BurnReportFormatTest {
    private val line = BurnLine(
        team = "<shop>",
        route = "shop-app",
        objectivePerMille = 999,
        targetMilliseconds = 150,
        good = 90,
        bad = 10,
        budgetLeftRatio = -99.0,
        windows = listOf(BurnWindow(300_000, 9, 1, 100.0), BurnWindow(3_600_000, 90, 10, 100.0)),
        alarms = listOf(BurnAlarm(300_000, 3_600_000, 14.4)),
        worstHour = BurnHour(0, 90, 10, 100.0),
        hours = listOf(BurnHour(0, 90, 10, 100.0)),
    )
    private val report = BurnReport(7_200_000, 0, listOf("a", "b"), listOf("c"), listOf(line))

    @Test
    fun `text format lists alarms, budgets and missing instances`() {
        expectThat(formatReport(report, BurnFormat.TEXT))
            .contains("by 2 instances.\nMissing: c.")
            .contains("<shop>  shop-app  99.9 % in 150 ms  100       10   100.0       100.0     -9900.0 %")
            .contains("ALARM <shop> shop-app: over 5 min and 1 h")
    }

    @Test
    fun `JSON format decodes to the same report`() {
        val json = formatReport(report, BurnFormat.JSON)
        expectThat(wireJson.decodeFromString(BurnReport.serializer(), json)).isEqualTo(report)
    }

    @Test
    fun `HTML page embeds the plot and escapes names`() {
        val page = formatReport(report, BurnFormat.PAGE)
        val image = Base64.getDecoder().decode(page.substringAfter("base64,").substringBefore('"'))
        expectThat(ImageIO.read(ByteArrayInputStream(image)).width).isEqualTo(960)
        expectThat(page).contains("&lt;shop&gt;").not().contains("<shop>")
    }
}
