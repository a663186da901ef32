/**
 * The command-line interface. {@code serve} without options and {@code self-test FILE} are run by
 * {@link weldcross.cli.ServeCommand} without picocli, whose classes take time to load; all other
 * commands are run by {@link weldcross.cli.WeldcrossCommand}.
 */
package weldcross.cli;
