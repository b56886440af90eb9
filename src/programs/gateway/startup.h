#pragma once

/// Waiting while a gateway starts: for settings that are still being written, and for addresses that are
/// still taken.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "programs/gateway/gateway_settings.h"

namespace oakpier::serving {

/// Reads the settings, or tells why they cannot be used.
using SettingsReader = std::function<std::variant<GatewaySettings, SettingsError>()>;

/// Waits in steps that a signal ends early. Receives the signals that are blocked otherwise, as long as it
/// exists.
class StartupWait {
 public:
  enum class Result {
    kElapsed,
    /// SIGHUP: the settings may have changed.
    kReload,
    /// SIGTERM or SIGINT.
    kStop,
  };

  StartupWait();
  StartupWait(const StartupWait&) = delete;
  StartupWait& operator=(const StartupWait&) = delete;
  ~StartupWait();

  Result waitFor(Duration duration);

 private:
  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

struct StopRequested {};

/// Returns the settings. Waits for a limited time for a file that is missing or incomplete, because its
/// writer may not be done; other errors are final. Errors are logged.
std::variant<GatewaySettings, SettingsError, StopRequested> awaitSettings(const SettingsReader& read);

/// What ended the wait for the addresses.
enum class ListenResult { kListening, kSettingsChanged, kStopRequested };

/// Calls `listen`, which returns an error message or an empty string, until it succeeds: an address may be
/// held by an earlier process that is still ending, by an outgoing connection, or may not be configured on
/// the machine yet. `settingsChanged` tells whether to give up, as other addresses may be meant.
ListenResult listenPatiently(const std::function<std::string()>& listen,
                             const std::function<bool()>& settingsChanged);

}  // namespace oakpier::serving
