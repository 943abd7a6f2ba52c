/** The prompt text of a request, as engine stand-ins and the verification of answers derive it. */
package org.mulberrypin.standins.text

import org.mulberrypin.schema.generated.ChatMessage
import org.mulberrypin.schema.generated.CompletionRequest

/** The prompt text of [request]: the prompt of a completion, or the joined messages of a chat. */
public fun promptOf(request: CompletionRequest): String =
    if (request.messages.isEmpty()) request.prompt else chatPrompt(request.messages)

/** The prompt text of a chat with [messages]. */
public fun chatPrompt(messages: List<ChatMessage>): String =
    messages.joinToString("\n") { "${it.role}: ${it.content}" }

/** Number of tokens of [prompt] as engine stand-ins count them. */
internal fun promptTokens(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

private const val CHARACTERS_PER_TOKEN = 4
