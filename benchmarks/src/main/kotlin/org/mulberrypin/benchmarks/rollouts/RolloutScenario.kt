package org.mulberrypin.benchmarks.rollouts

import org.kohsuke.args4j.Option

/** What is simulated; every random draw comes from [seed]. */
public class RolloutScenario {
    @Option(name = "--seed", usage = "seed of all random draws")
    public var seed: Long = 1

    @Option(name = "--trainers", usage = "trainers that share the engines")
    public var trainers: Int = 3

    @Option(name = "--instances", usage = "entry instances, each before its own share of the engines")
    public var instances: Int = 12

    @Option(name = "--slots", usage = "samples that the engines of one instance generate at the same time")
    public var slots: Int = 128

    @Option(name = "--groups", usage = "groups of a step")
    public var groups: Int = 512

    @Option(name = "--samples", usage = "samples of a group")
    public var samples: Int = 8

    @Option(name = "--steps", usage = "steps of each trainer, over the same prompts")
    public var steps: Int = 3

    @Option(name = "--staleness", usage = "staleness bound in versions")
    public var staleness: Long = 8

    @Option(name = "--training", usage = "milliseconds that a trainer takes for one sample")
    public var trainingMilliseconds: Long = 60

    @Option(name = "--slow", usage = "part of the instances, in percent, whose engines run at a quarter of the speed")
    public var slowPercent: Int = 8
}
