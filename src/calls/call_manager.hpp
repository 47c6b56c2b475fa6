// The life of every call at its entry daemon, from admission to the last byte.
//
// Decides when a call may be sent, retried, resumed, answered or refused, and
// what a refusal may say about whether the call ran. Schedules, claims and
// transfers are hooks, so that tests can bring about every failure at every
// step without sockets.
//
// The promise behind it: a call that is not repeatable is handed to the
// backend client at most once, unless that attempt ended before any byte left
// this host. `not_run` is only said while no attempt was handed over, or when
// every attempt ended that way.
#ifndef BRONZEHUB_CALLS_CALL_MANAGER_HPP
#define BRONZEHUB_CALLS_CALL_MANAGER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "backend_client/client.hpp"
#include "base/clock.hpp"
#include "base/refusal.hpp"
#include "calls/response_relay.hpp"
#include "calls/routing.hpp"
#include "dispatch/entry_dispatch.hpp"

namespace bronzehub::calls {

using dispatch::call_id;

enum class call_step {
    claiming,  // The idempotency key's claim is being written.
    waiting,   // In the backlog; no attempt was handed over.
    sent,      // An attempt is running.
    detached,  // The caller left; the call runs on to its recorded end.
    last = detached
};

std::string_view to_string(call_step step);

// The response that is kept for an idempotency key.
struct recorded_response {
    int status = 0;
    base::http_headers headers;
    std::string body;
};

// What the claim of an idempotency key allows.
struct claim_granted {};
using claim_decision =
    std::variant<claim_granted, recorded_response, base::refusal>;

struct claim_hooks {
    // Asks for the claim; `done` is called once, on the decision thread.
    std::function<void(call_id, const routed_call&,
                       std::function<void(claim_decision)> done)>
        acquire;
    // An attempt is about to be handed over. False when the claim is not held
    // any more: the call must not be sent.
    std::function<bool(call_id)> mark_sent;
    // The attempts so far left no byte on the way to a backend server.
    std::function<void(call_id)> mark_not_sent;
    // The call ended with this response; it is replayed to later calls.
    std::function<void(call_id, recorded_response)> complete;
    // The call may have run and its response is lost.
    std::function<void(call_id)> mark_unknown;
    // The call did not run; its key is free again.
    std::function<void(call_id)> abandon;
};

// The entry side of dispatch; see `dispatch::entry_dispatch`.
struct schedule_hooks {
    std::function<std::optional<base::refusal>(const dispatch::waiting_call&)>
        submit;
    std::function<bool(call_id)> cancel;
    std::function<void(call_id, double)> progress;
    std::function<void(call_id, const dispatch::finished_call&)> finished;
    std::function<void(call_id, bool started)> returned;
    // A call of the service ended; times count from its start.
    std::function<void(base::service_id, base::duration first_byte,
                       base::duration total)>
        measured;
    // A first attempt is handed over; it earns retry budget.
    std::function<void(base::organisation_id, base::service_id)> sent;
    // Whether the retry budget of the organisation and service allows one more
    // attempt; spends it when it does.
    std::function<bool(base::organisation_id, base::service_id)> take_retry;
};

struct transfer_hooks {
    std::function<backend_client::handle(backend_client::backend_request,
                                         backend_client::backend_events)>
        send;
    std::function<void(backend_client::handle)> cancel;
    std::function<void(backend_client::handle)> pause;
    std::function<void(backend_client::handle)> resume;
    // The address of a backend server; empty when it left the configuration.
    std::function<std::string(base::backend_server_id)> address_of;
    // Runs a function on the decision thread. Called from any thread.
    std::function<void(std::function<void()>)> post;
};

// Counters of what ended how; read on the decision thread.
struct call_counters {
    std::uint64_t admitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t retried = 0;
    std::uint64_t resumed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t late_results = 0;
    std::uint64_t aborted_streams = 0;
};

struct manager_options {
    std::chrono::milliseconds connect_timeout{1000};
    // Between bytes of a stream. Whole responses have no such limit, because a
    // long generation sends nothing before its end.
    std::chrono::milliseconds stream_idle_timeout{60000};
    relay_options relay;
    // Larger responses to calls with an idempotency key are passed through and
    // not recorded: a later call with the key hears that the outcome is
    // unknown.
    std::size_t recorded_response_bytes = 1024UL * 1024;
    std::uint32_t max_attempts = 4;
};

// Belongs to the decision thread. Must outlive the transfers that it started.
class call_manager {
public:
    call_manager(manager_options options, base::clock clock, claim_hooks claims,
                 schedule_hooks schedule, transfer_hooks transfers);
    ~call_manager();
    call_manager(const call_manager&) = delete;
    call_manager& operator=(const call_manager&) = delete;

    // Takes over a call. `writer` receives exactly one response.
    void admit(call_id id, std::string request_id, routed_call request,
               std::shared_ptr<http_server::response_writer> writer);

    // Dispatch found a slot.
    void start(call_id id, base::backend_server_id server);

    // Dispatch gave up on a waiting call.
    void refuse(call_id id, const base::refusal& why);

    // The caller closed its connection.
    void caller_left(call_id id);

    // Reports the progress of running calls to dispatch.
    void tick();

    std::size_t active() const { return calls_.size(); }
    // Bytes of request bodies held.
    std::size_t buffered_bytes() const { return buffered_bytes_; }
    const call_counters& counters() const { return counters_; }
    nlohmann::json dump() const;

private:
    struct call;
    using call_map = std::unordered_map<call_id, std::unique_ptr<call>>;

    call* find(call_id id);
    void on_claim(call_id id, claim_decision decision);
    void enqueue(call& target);
    void send_attempt(call& target, const std::string& address);
    backend_client::backend_request make_request(const call& target,
                                                 std::string address) const;
    void on_attempt_ended(call_id id, std::uint32_t attempt,
                          const attempt_result& result);
    void on_not_sent(call& target);
    void on_completed(call& target, const attempt_result& result);
    void on_broken(call& target, const attempt_result& result);
    // The response in progress is a stream of events.
    static bool continues_by_events(const call& target);
    bool try_again(call& target, const attempt_result& result);
    void release_slot(call& target, const attempt_result& result,
                      bool completed);
    double cost_of(const call& target, const attempt_result& result) const;
    void answer(call& target, const attempt_result& result);
    void end_refused(call& target, const base::refusal& why);
    void erase(call& target);

    manager_options options_;
    base::clock clock_;
    claim_hooks claims_;
    schedule_hooks schedule_;
    transfer_hooks transfers_;
    call_map calls_;
    call_counters counters_;
    std::size_t buffered_bytes_ = 0;
};

}  // namespace bronzehub::calls

#endif
