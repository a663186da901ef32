/**
 * Reads configuration: the JSON file of a gateway, the TOML file of its extensions and the settings
 * that a simulator sends. Keys are known only here; all other packages see typed records. A value
 * that cannot be used ends in {@link weldcross.config.InvalidConfigException}, which names its key.
 */
package weldcross.config;
