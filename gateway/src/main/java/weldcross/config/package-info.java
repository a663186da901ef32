/**
 * Reads configuration: the JSON file of a gateway, the TOML file of its extensions and the settings
 * sent by the simulator. Configuration keys are confined to this package; other packages use typed
 * records. An invalid value causes an {@link weldcross.config.InvalidConfigException} that contains
 * its key.
 */
package weldcross.config;
