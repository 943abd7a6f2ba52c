package org.mulberrypin.standins.load

/**
 * Options of a trainer in a load test.
 *
 * @property addresses entry instances as host:port; after a failed request the trainer switches to the next one
 * @property key API key of the trainer
 * @property trainer name of the trainer
 * @property model model that generates the samples
 * @property steps number of steps, requested sequentially
 * @property groupsPerStep number of prompt groups per step
 * @property samplesPerGroup number of samples per prompt group
 * @property maxTokens maximum number of tokens per sample
 * @property stalenessBound largest difference between the trainer's weight version and the oldest one in a sample
 * @property stepTimeoutMilliseconds time limit of one step, after which the trainer gives up
 * @property timeoutMilliseconds response timeout of one request
 * @property retryPauseMilliseconds pause after a failed request
 * @property seed seed of the prompts; it is part of the step names
 * @property readVersion returns the trainer's current weight version
 */
public data class TrainerOptions(
    val addresses: List<String>,
    val key: String,
    val trainer: String,
    val model: String,
    val steps: Int = 2,
    val groupsPerStep: Int = 8,
    val samplesPerGroup: Int = 4,
    val maxTokens: Int = 64,
    val stalenessBound: Long = 4,
    val stepTimeoutMilliseconds: Long = 60_000,
    val timeoutMilliseconds: Long = 10_000,
    val retryPauseMilliseconds: Long = 200,
    val seed: Long = 1,
    val readVersion: () -> Long = { 1 },
)
