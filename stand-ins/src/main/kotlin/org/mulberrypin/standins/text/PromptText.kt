/** The prompt that a request amounts to, in the form that engine stand-ins and checks agree on. */
package org.mulberrypin.standins.text

import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionRequest

/** The prompt of [request]: its own one, or its messages joined. */
public fun promptOf(request: CompletionRequest): String =
    if (request.messages.isEmpty()) request.prompt else chatPrompt(request.messages)

/** The prompt that [messages] amount to. */
public fun chatPrompt(messages: List<ChatMessage>): String =
    messages.joinToString("\n") { "${it.role}: ${it.content}" }

/** Tokens of [prompt] as engine stand-ins count them. */
internal fun promptTokens(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

private const val CHARACTERS_PER_TOKEN = 4
