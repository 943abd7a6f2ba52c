package org.mulberrypin.command

/** Marks the classes whose annotated properties are filled from the command line. */
internal interface CommandOptions
