package org.mulberrypin.standins.load

/**
 * What a trainer of a load run does.
 *
 * @property addresses entry instances as host:port; the trainer goes to the next one when one fails
 * @property key key of the trainer
 * @property trainer name of the trainer
 * @property model model to sample
 * @property steps steps to ask for, one after another
 * @property groupsOfStep groups of each step
 * @property samplesOfGroup samples of each group
 * @property maxTokens longest sample
 * @property stalenessBound largest difference between the trainer's weight version and the oldest one in a sample
 * @property stepMilliseconds longest time for one step, after which it is given up
 * @property timeoutMilliseconds longest wait for one answer
 * @property retryPauseMilliseconds pause after an attempt that failed
 * @property seed seed of the prompts and part of the names of steps
 * @property readVersion reads the trainer's weight version at the time of a request
 */
public data class TrainerOptions(
    val addresses: List<String>,
    val key: String,
    val trainer: String,
    val model: String,
    val steps: Int = 2,
    val groupsOfStep: Int = 8,
    val samplesOfGroup: Int = 4,
    val maxTokens: Int = 64,
    val stalenessBound: Long = 4,
    val stepMilliseconds: Long = 60_000,
    val timeoutMilliseconds: Long = 10_000,
    val retryPauseMilliseconds: Long = 200,
    val seed: Long = 1,
    val readVersion: () -> Long = { 1 },
)
