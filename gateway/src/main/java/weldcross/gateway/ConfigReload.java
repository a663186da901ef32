package weldcross.gateway;

import java.util.List;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;

/**
 * Takes a configuration that was read again while the gateway runs: the address of discovery
 * applies at once, other keys from the next start on.
 */
final class ConfigReload {

  private static final Logger LOG = Logger.getLogger(ConfigReload.class.getName());

  private final GatewayConfig config;
  private final DiscoveryWatcher discovery;
  private final ExtensionHost extensions;

  /**
   * Creates the handler of reloads.
   *
   * @param config the configuration that the gateway was started with
   */
  ConfigReload(GatewayConfig config, DiscoveryWatcher discovery, ExtensionHost extensions) {
    this.config = config;
    this.discovery = discovery;
    this.extensions = extensions;
  }

  /** Applies what can change without a restart and logs the keys that cannot. */
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

  /** Logs why a configuration was not taken; the one in force stays. */
  void failed(String reason) {
    LOG.warning(() -> "configuration reload failed, the one in force stays: reason=" + reason);
  }
}
