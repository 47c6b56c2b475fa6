// HTTP/1.1 client for calls to backend servers.
//
// Use it for requests whose body is in memory and whose response is consumed
// as it arrives: `on_body` hands out bytes as they come and nothing is
// buffered beyond one read (16 KiB). Not for anything but plain HTTP.
//
// Redirects are not followed, proxies from the environment are ignored and
// `Expect: 100-continue` is never sent.
#ifndef BRONZEHUB_BACKEND_CLIENT_CLIENT_HPP
#define BRONZEHUB_BACKEND_CLIENT_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/http_header.hpp"

namespace bronzehub::backend_client {

// Durations of zero mean that the limit is off.
struct backend_request {
    // "address:port"; an IPv6 address is written in brackets.
    std::string address = {};
    std::string method = "GET";
    // The request target as it is sent, with its query.
    std::string path = "/";
    // Sent as given, without the hop-by-hop fields and Content-Length, which
    // follow from the body.
    base::http_headers headers = {};
    std::string body = {};

    // True: the request travels on a new connection that is closed afterwards.
    // Calls that must run at most once need this, because libcurl silently
    // sends a request again when a reused connection turns out to be closed.
    bool fresh_connection = false;

    std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
    // From `send` to the end of the response, pauses included.
    std::chrono::milliseconds total_timeout{0};
    // Longest time without a byte in either direction. Stands still while the
    // call is paused.
    std::chrono::milliseconds idle_timeout{0};
};

enum class outcome {
    // The whole response arrived.
    completed,
    // No byte of the request can have left this host.
    not_sent,
    // Anything else; the backend server may have received the request.
    broken,
};

struct call_result {
    outcome kind = outcome::broken;
    // `cancel` or the destructor ended the call.
    bool cancelled = false;
    // False when only the closing of the connection marked the end of the
    // response, so that a response that was cut off looks whole.
    bool end_verified = true;
    // Empty for `completed`.
    std::string error = {};
};

// Every hook runs on the client's thread and must not block. Empty hooks are
// skipped.
struct backend_events {
    // At most once, before `on_body`. Interim (1xx) responses are left out.
    std::function<void(int status, const base::http_headers&)> on_headers =
        nullptr;
    // The bytes are valid during the call only. An error says that the response
    // cannot be used: the call ends as broken at once, with its message, and
    // the connection is closed.
    std::function<absl::Status(std::span<const char>)> on_body = nullptr;
    // Exactly once, as the last event.
    std::function<void(const call_result&)> on_end = nullptr;
};

// Identifies a call; never reused.
enum class handle : std::uint64_t {};

struct options {
    // Idle connections that are kept for reuse.
    std::size_t max_idle_connections = 256;
    // A connection that was idle for longer is not used again. Backend servers
    // commonly close idle connections after a minute.
    std::chrono::seconds max_idle_age{30};
};

// Runs its transfers on one own thread. All functions may be called from any
// thread, hooks included. Destruction cancels the calls that still run, calls
// their `on_end` and joins the thread; it must not happen on that thread.
class client {
public:
    // Errors: kResourceExhausted when the system refuses a descriptor.
    static absl::StatusOr<std::unique_ptr<client>> start(
        const options& settings = {});

    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    // Starts a call. A request that cannot be sent as it is (malformed method,
    // path or header) ends with `not_sent`.
    handle send(backend_request request, backend_events events);

    // Ends a call; `on_end` follows. When called on the client's thread, no
    // other event comes before it. A call that has ended is ignored.
    void cancel(handle id);

    // Stops and restarts the delivery of `on_body`. When called on the
    // client's thread, `pause` holds from the next `on_body` on; from another
    // thread, one read may still be delivered. Memory stays bounded, because a
    // paused call does not read from its socket.
    void pause(handle id);
    void resume(handle id);

    class loop;

private:
    explicit client(std::unique_ptr<loop> state);

    std::unique_ptr<loop> loop_;
};

}  // namespace bronzehub::backend_client

#endif
