// HTTP transfers by libcurl on a thread of their own.
//
// Used by `http_platform`; it knows nothing about the platform's API. A write
// always opens a fresh connection: libcurl silently repeats a request when a
// reused connection turns out to be closed, and a repeated conditional write
// would report a conflict with itself.
#ifndef BRONZEHUB_PLATFORM_HTTP_TRANSFERS_HPP
#define BRONZEHUB_PLATFORM_HTTP_TRANSFERS_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::platform {

struct http_call {
    std::string method;
    std::string target;  // Path and query.
    std::vector<std::string> headers;
    std::string body;
    bool is_write = false;
};

enum class transfer_result {
    completed,  // `status` and `body` are valid.
    not_sent,   // No byte of the request left this host.
    broken,     // The request may have been received.
    rejected,   // Too many calls are waiting; not sent.
};

struct http_reply {
    transfer_result result = transfer_result::not_sent;
    long status = 0;
    std::string body;
    std::string error;  // For people, when not completed.
};

struct transfer_options {
    std::string base_url;  // For example http://10.0.0.1:8080.
    std::chrono::milliseconds connect_timeout{1000};
    // From submission to the end of the response, time in the queue included.
    std::chrono::milliseconds timeout{5000};
    std::size_t max_in_flight = 64;
    std::size_t max_queued = 1024;
    // Snapshots of the configuration are the largest responses.
    std::size_t max_response_bytes = std::size_t{64} << 20U;
};

// Thread-safe. The destructor ends open transfers and joins the thread.
class transfers {
public:
    // Called once for each call, on the transfer thread or, for `rejected`, on
    // the submitting one.
    using finish_hook = std::function<void(http_reply)>;

    transfers(transfer_options options, base::clock time);
    transfers(const transfers&) = delete;
    transfers& operator=(const transfers&) = delete;
    ~transfers();

    void submit(http_call call, finish_hook finish);

private:
    class worker;
    std::unique_ptr<worker> worker_;
};

}  // namespace bronzehub::platform

#endif
