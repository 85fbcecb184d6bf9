package org.hickoryspar.node.cli;

import java.lang.reflect.Constructor;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;

/** Instantiates the package-private command classes, which args4j itself cannot access. */
public final class CommandHandler extends SubCommandHandler {

  /**
   * Creates a handler for one argument.
   *
   * @param parser the parser
   * @param option the argument
   * @param setter receives the command
   */
  public CommandHandler(CmdLineParser parser, OptionDef option, Setter<Object> setter) {
    super(parser, option, setter);
  }

  @Override
  protected Object instantiate(SubCommand subCommand) {
    return create(subCommand.impl());
  }

  @Override
  protected CmdLineParser configureParser(Object subCommand, SubCommand annotation) {
    return parserFor(subCommand);
  }

  /**
   * Creates a command with the constructor without parameters.
   *
   * @param type class of the command
   * @return a new command
   */
  static Object create(Class<?> type) {
    try {
      Constructor<?> constructor = type.getDeclaredConstructor();
      return constructor.newInstance();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot create " + type.getName(), e);
    }
  }

  /**
   * Creates a parser whose help text has lines of at most 100 characters.
   *
   * @param command the object that holds the options
   * @return a new parser
   */
  static CmdLineParser parserFor(Object command) {
    return new CmdLineParser(
        command, ParserProperties.defaults().withUsageWidth(100).withShowDefaults(false));
  }
}
