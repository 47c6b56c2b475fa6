// One bronzehub daemon: every part of it, wired together.
#ifndef BRONZEHUB_DAEMON_NODE_HPP
#define BRONZEHUB_DAEMON_NODE_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "logging/logging.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

// Exit codes of the daemon.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_forced = 3;
inline constexpr int exit_bad_settings = 4;

// Thread-safe after `start`. Destruction ends every call at once; drain first.
class node {
public:
    // Binds the listeners and starts the threads.
    //
    // Errors: kInvalidArgument for an initial configuration that is not valid,
    // kUnavailable when an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<node>> start(
        const settings::daemon_settings& settings, logging::logger& log);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Stops taking calls; `drained` is called once, on some thread, when the
    // last call has ended. Calls that run are never cut off.
    void drain(std::function<void()> drained);

    // Calls that would be lost if the process ended now.
    std::size_t active_calls() const;

private:
    class implementation;
    explicit node(std::unique_ptr<implementation> self);

    std::unique_ptr<implementation> self_;
};

}  // namespace bronzehub::daemon

#endif
