package org.mulberrypin.benchmarks.rollouts

import org.kohsuke.args4j.Option

/** Parameters of the simulation, from command line options; all random values are derived from [seed]. */
public class RolloutScenario {
    @Option(name = "--seed", usage = "seed of all random values")
    public var seed: Long = 1

    @Option(name = "--trainers", usage = "trainers that share the engines")
    public var trainers: Int = 3

    @Option(name = "--instances", usage = "entry instances, each with its own share of the engines")
    public var instances: Int = 12

    @Option(name = "--slots", usage = "samples that the engines of one instance generate concurrently")
    public var slots: Int = 128

    @Option(name = "--groups", usage = "groups per step")
    public var groups: Int = 512

    @Option(name = "--samples", usage = "samples per group")
    public var samples: Int = 8

    @Option(name = "--steps", usage = "steps per trainer, all over the same prompts")
    public var steps: Int = 3

    @Option(name = "--staleness", usage = "staleness bound in versions")
    public var staleness: Long = 8

    @Option(name = "--training", usage = "training time per sample, in milliseconds")
    public var trainingMilliseconds: Long = 60

    @Option(name = "--slow", usage = "percentage of instances whose engines run at a quarter of the speed")
    public var slowPercent: Int = 8
}
