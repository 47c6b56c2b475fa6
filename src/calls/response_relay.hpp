// Passes the response of one attempt from the backend client to the caller.
//
// Short responses are collected and handed to the call manager whole, so that
// a broken one can be retried or refused. Event streams and responses above
// the collection limit are passed through as they arrive, with back pressure:
// reading from the backend server pauses while the caller is slow.
#ifndef BRONZEHUB_CALLS_RESPONSE_RELAY_HPP
#define BRONZEHUB_CALLS_RESPONSE_RELAY_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>

#include "absl/status/status.h"
#include "backend_client/client.hpp"
#include "base/clock.hpp"
#include "calls/event_splitter.hpp"
#include "http_server/response_writer.hpp"

namespace bronzehub::calls {

// How an attempt ended, for the decision thread.
struct attempt_result {
    backend_client::outcome kind = backend_client::outcome::broken;
    std::string error;
    int status = 0;
    base::http_headers headers;
    std::string body;          // Empty when the response was passed through.
    bool started = false;      // The caller has the head of the response.
    bool streamed = false;     // Passed through as an event stream.
    bool done = false;         // The stream's final event was passed on.
    std::uint64_t events = 0;  // Events that the caller has, all attempts.
    std::string last_event;    // Carries the usage figures.
    base::duration first_byte{};
    base::duration total{};
};

// A call that must not be cancelled has usually ended long before its response
// gets this long: four times the default of `limits.answer_bytes`.
inline constexpr std::size_t max_unread_bytes = 16UL * 1024 * 1024;

struct relay_options {
    std::string request_id;
    // An earlier attempt has sent the head and `delivered_events` events.
    bool already_started = false;
    std::uint64_t delivered_events = 0;
    // The call asked for a stream of events that ends with `[DONE]`. Other
    // event streams pass through as bytes.
    bool event_stream = false;
    // Responses up to this size are collected.
    std::size_t collect_bytes = 64UL * 1024;
    // Bytes not yet taken by the caller at which reading pauses.
    std::size_t pause_bytes = 256UL * 1024;
};

struct relay_hooks {
    // Stop and restart the attempt's transfer. Called from any thread.
    std::function<void()> pause;
    std::function<void()> resume;
    // Called once, on the backend client's thread.
    std::function<void(attempt_result)> ended;
};

// The event functions run on the backend client's thread, `detach` and the
// counters on any. Held by shared_ptr, because both sides may let go first.
class response_relay : public std::enable_shared_from_this<response_relay> {
public:
    response_relay(relay_options options, base::clock clock,
                   std::shared_ptr<http_server::response_writer> writer,
                   relay_hooks hooks);

    // Events for the backend client; they keep the relay alive.
    backend_client::backend_events events();

    // Lets nothing further through to the caller. Bytes that arrive later are
    // dropped. Returns after a write in progress has ended.
    void detach();

    // The caller left, and the attempt runs on to its recorded end. A response
    // that is passed through ends it after `max_unread_bytes`. Thread-safe.
    void caller_left() { caller_left_ = true; }

    // Events passed to the caller by all attempts. Thread-safe.
    std::uint64_t delivered_events() const { return delivered_.load(); }

private:
    void on_headers(int status, const base::http_headers& headers);
    absl::Status on_body(std::span<const char> bytes);
    void on_end(const backend_client::call_result& result);
    absl::Status count_unread(std::size_t bytes);
    void start_caller();
    absl::Status pass_events(std::span<const char> bytes);
    absl::Status pass_bytes(std::span<const char> bytes);
    absl::Status collect(std::span<const char> bytes);
    void apply_back_pressure();

    relay_options options_;
    base::clock clock_;
    std::shared_ptr<http_server::response_writer> writer_;
    relay_hooks hooks_;
    base::time_point sent_at_;

    // Guards the caller's side against `detach`.
    std::mutex mutex_;
    bool detached_ = false;

    // Below: only on the backend client's thread.
    attempt_result result_;
    event_splitter splitter_;
    bool passing_ = false;
    std::size_t unread_bytes_ = 0;  // Passed through after the caller left.

    std::atomic<std::uint64_t> delivered_;
    std::atomic<bool> caller_left_ = false;
};

}  // namespace bronzehub::calls

#endif
