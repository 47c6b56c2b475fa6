// HTTP client of the platform's store that keeps one connection open.
#ifndef BRONZEHUB_ENTRY_STORE_CLIENT_HPP
#define BRONZEHUB_ENTRY_STORE_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "entry/backend_connection.hpp"
#include "platform/store_codec.hpp"

namespace bronzehub::entry {

// Only one call may be in progress at a time. Not thread-safe.
class store_client {
public:
    // `sent_at` is the time at which the request was sent. The rows read are at
    // least as new as that.
    using callback =
        std::function<void(absl::StatusOr<platform_wire::rows_response>,
                           base::time_point sent_at)>;

    store_client(net::event_loop& loop, std::string address);

    // Sends `request` and calls `done` exactly once. If no response has arrived
    // after `timeout`, the result is kDeadlineExceeded; a write may have been
    // applied all the same.
    void call(const platform_wire::store_request& request,
              base::duration timeout, callback done);

    // Number of calls so far, and of those that failed.
    std::uint64_t calls() const { return call_count_; }
    std::uint64_t failures() const { return failure_count_; }

private:
    void on_body(std::string_view bytes);
    void finish(absl::StatusOr<platform_wire::rows_response> result);

    net::event_loop& loop_;
    std::string address_;
    std::shared_ptr<backend_connection> connection_;
    std::optional<base::timer_id> timeout_timer_;
    callback done_;
    base::time_point sent_at_{};
    int response_status_ = 0;
    std::optional<std::uint64_t> response_era_;
    std::string response_body_;
    std::uint64_t call_count_ = 0;
    std::uint64_t failure_count_ = 0;
};

}  // namespace bronzehub::entry

#endif
