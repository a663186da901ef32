/**
 * The command line. Plain {@code serve} and {@code self-test FILE} are run by {@link
 * weldcross.cli.ServeCommand} without picocli, whose classes take time to load; everything else
 * goes through {@link weldcross.cli.WeldcrossCommand}.
 */
package weldcross.cli;
