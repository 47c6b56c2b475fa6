// Calls of the platform's store over one kept connection.
#ifndef BRONZEHUB_ENTRY_STORE_CLIENT_HPP
#define BRONZEHUB_ENTRY_STORE_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "entry/backend_connection.hpp"
#include "platform/store_codec.hpp"

namespace bronzehub::entry {

// One call at a time. Not thread-safe.
class store_client {
public:
    // `sent_at` is when the call left: what it read is at least that new.
    using callback =
        std::function<void(absl::StatusOr<platform_wire::rows_response>,
                           base::time_point sent_at)>;

    store_client(event_loop& loop, std::string address);

    // Calls `done` once. A call without a response after `timeout` ends with
    // kDeadlineExceeded; a write may then have been applied.
    void call(const platform_wire::store_request& request,
              base::duration timeout, callback done);

    std::uint64_t calls() const { return calls_; }
    std::uint64_t failures() const { return failures_; }

private:
    void on_body(std::string_view bytes);
    void finish(absl::StatusOr<platform_wire::rows_response> result);

    event_loop& loop_;
    std::string address_;
    std::shared_ptr<backend_connection> connection_;
    std::optional<base::timer_id> timeout_;
    callback done_;
    base::time_point sent_at_{};
    int status_ = 0;
    std::string body_;
    std::uint64_t calls_ = 0;
    std::uint64_t failures_ = 0;
};

}  // namespace bronzehub::entry

#endif
