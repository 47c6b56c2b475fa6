// The platform's hooks over its HTTP API.
//
// The daemon creates one and hands its hooks to the libraries that decide.
// Tests of those libraries use `memory_platform` instead.
//
// Example:
//   http_platform platform({.base_url = "http://10.0.0.1:8080"},
//                          base::monotonic_clock(), post_to_decision_thread);
//   claim_table claims(platform.tables(), ...);
#ifndef BRONZEHUB_PLATFORM_HTTP_HTTP_PLATFORM_HPP
#define BRONZEHUB_PLATFORM_HTTP_HTTP_PLATFORM_HPP

#include <functional>

#include "base/clock.hpp"
#include "platform/platform.hpp"
#include "platform_http/transfers.hpp"

namespace bronzehub::platform {

// Thread-safe. Must outlive the hooks that it hands out. Operations that are
// open when it is destroyed still finish, through `post`: reads and unsent
// writes with kUnavailable, writes that may have been sent with kUnknown.
class http_platform {
public:
    // Queues a function for the caller's decision thread. Called from the
    // transfer thread; must not run the function itself.
    using post_hook = std::function<void(std::function<void()>)>;

    http_platform(transfer_options options, base::clock time, post_hook post);

    table_service tables();
    object_store objects();
    host_list hosts();

private:
    template <class T, class Parse>
    void submit(http_call call, Parse parse, callback<T> done);

    post_hook post_;
    transfers transfers_;
};

}  // namespace bronzehub::platform

#endif
