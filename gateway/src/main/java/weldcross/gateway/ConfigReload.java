package weldcross.gateway;

import java.util.List;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;

/**
 * Applies a configuration that was reloaded while the gateway runs. The discovery address takes
 * effect immediately; all other keys need a restart.
 */
final class ConfigReload {

  private static final Logger LOG = Logger.getLogger(ConfigReload.class.getName());

  private final GatewayConfig config;
  private final DiscoveryWatcher discovery;
  private final ExtensionHost extensions;

  /**
   * Creates a reload handler.
   *
   * @param config the configuration with which the gateway was started
   */
  ConfigReload(GatewayConfig config, DiscoveryWatcher discovery, ExtensionHost extensions) {
    this.config = config;
    this.discovery = discovery;
    this.extensions = extensions;
  }

  /** Applies the discovery address and logs the other keys that differ. */
  void reload(GatewayConfig next) {
    List<String> needRestart = config.keysThatNeedRestart(next);
    LOG.info(
        () ->
            "configuration reloaded"
                + (needRestart.isEmpty()
                    ? ""
                    : ": restart needed for keys=" + String.join(",", needRestart)));
    discovery.changeAddress(next.discoveryAddress());
    extensions.reloaded();
  }

  /** Logs why a configuration was rejected; the current one stays in effect. */
  void failed(String reason) {
    LOG.warning(
        () -> "configuration reload failed, keeping the current configuration: reason=" + reason);
  }
}
