// What a daemon derives from its settings when it starts.
#ifndef BRONZEHUB_DAEMON_STARTUP_HPP
#define BRONZEHUB_DAEMON_STARTUP_HPP

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "calls/call_manager.hpp"
#include "http_server/server.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

calls::manager_options manager_options_of(
    const settings::daemon_settings& from);

// Options of the server for `listener`, one of the addresses in the settings.
http_server::options server_options_of(const settings::daemon_settings& from,
                                       const std::string& listener);

// The body and headers of a request that the server refuses before it is a
// call.
http_server::rejection make_rejection(int status);

// Rises with every start of the daemon on a host.
std::uint64_t new_incarnation();

// kInvalidArgument, with every fault, for an initial configuration that is not
// valid. Called before anything is written.
absl::Status check_initial_configuration(
    const settings::daemon_settings& settings);

}  // namespace bronzehub::daemon

#endif
