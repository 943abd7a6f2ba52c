package org.mulberrypin.command

/** Implemented by classes whose annotated properties args4j sets from the command line. */
internal interface CommandOptions
