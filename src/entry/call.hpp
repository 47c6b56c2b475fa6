// Handles one caller's request: finds the route, checks the API key, selects a
// backend server, sends the request and relays the response.
//
// The decisions are made by the `overload` and `fleet_state` libraries. A call
// performs them and writes a log line when it ends.
#ifndef BRONZEHUB_ENTRY_CALL_HPP
#define BRONZEHUB_ENTRY_CALL_HPP

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cold_start/warmth.hpp"
#include "entry/backend_pool.hpp"
#include "entry/backend_status.hpp"
#include "entry/call_report.hpp"
#include "entry/event_relay.hpp"
#include "entry/fleet_watch.hpp"
#include "entry/liveness_probe.hpp"
#include "entry/place_search.hpp"
#include "entry/quarantine_link.hpp"
#include "entry/read_pacer.hpp"
#include "hedging/second_attempt_policy.hpp"
#include "net/caller_connection.hpp"
#include "overload/attempt_policy.hpp"
#include "overload/completion_estimate.hpp"
#include "overload/domain_reachability.hpp"
#include "overload/host_admission.hpp"
#include "overload/host_load.hpp"
#include "overload/output_usage.hpp"
#include "overload/retry_window.hpp"
#include "overload/share_meter.hpp"

namespace bronzehub::entry {

// Objects and limits that all calls of a host share. Must outlive the calls.
struct call_environment {
    net::event_loop& loop;
    const fleet_watch& fleet;
    fleet_state::backend_directory& servers;
    backend_pool& pool;
    backend_status& status;
    cold_start::warmth& warmth;
    schedule_link& schedule;
    overload::retry_window& retries;
    overload::domain_reachability& reachability;
    liveness_probe& liveness;
    quarantine_link& quarantine;
    overload::share_meter& shares;
    overload::completion_estimate& completions;
    overload::output_usage& outputs;
    call_reporter& reporter;
    std::string failure_domain;
    // Longest time since the configuration was confirmed for which its API keys
    // are trusted. After that, a key may have been revoked.
    base::duration max_key_age{};
    // Returns whether the daemon no longer accepts requests.
    std::function<bool()> draining;
    // Returns the time for which responses can still be relayed before the
    // daemon stops; empty while it is not stopping.
    std::function<std::optional<base::duration>()> time_to_stop;
    // Called when a backend server announced in a response that it is about to
    // stop.
    std::function<void(const fleet_state::backend_server&)> on_server_leaving;
    overload::host_load& load;
    overload::host_admission& admission;
    read_pacer& pacer;
    // Longest time between receiving an event of a stream and writing it to the
    // caller.
    base::duration max_delivery_delay{};
    search_environment search;
    hedging::second_attempt_policy& hedging;
};

// Whether the API keys of the configuration are new enough to act on. An older
// key may have been revoked.
bool has_fresh_keys(const call_environment& environment);

// Returns the name of the organisation that holds the request's API key;
// nullopt if there is none or the keys are not fresh.
std::optional<std::string_view> organisation_of(
    const call_environment& environment,
    const fleet_state::configuration& configuration,
    const fleet_state::request_description& request);

// Adds a request that an overloaded host refused to the usage of its
// organisation. Requests to plain services and requests without a known key are
// not counted, as they use no share of the engines.
void count_host_refusal(call_environment& environment,
                        const fleet_state::configuration& configuration,
                        const fleet_state::request_description& request);

// Not thread-safe. Owned by shared pointers, which its callbacks hold until the
// call has ended.
class call : public std::enable_shared_from_this<call> {
public:
    call(call_environment& environment,
         std::shared_ptr<net::caller_connection> caller,
         net::caller_request request, std::function<void(call*)> on_end);

    void start();

    // Ends the call because the caller closed its connection.
    void on_caller_disconnected();

    // Ends the call because the daemon stops. A response that has begun is left
    // to be aborted.
    void on_stop();

private:
    // Fraction of the target time to the first event for which a request may
    // wait for a slot. The engine needs the rest to prefill the prompt.
    static constexpr double max_waiting_fraction = 0.5;
    // Base of Retry-After if no server is left to try. The list of servers is
    // updated within this time.
    static constexpr std::chrono::milliseconds no_server_retry_after{1000};

    // One exchange with a backend server.
    struct attempt {
        // The server as it was listed when the request was sent.
        fleet_state::backend_server server;
        // Health epoch of the server when the request was sent.
        std::uint64_t health_epoch = 0;
        std::shared_ptr<backend_connection> connection;
        base::time_point sent_at{};
        // Latest time at which the request may be sent.
        base::time_point send_before = base::time_point::max();
        // Load of the server when the request was sent.
        overload::completion_estimate::server_load load;
        int status = 0;
        base::http_headers headers;
        fleet_state::response_description description;
        std::string body;
        bool is_stream = false;
        // Resumes a stream that another server began.
        bool is_resumption = false;
        // An event arrived from the server.
        bool has_event = false;
        // Events that earlier attempts relayed.
        std::uint64_t earlier_events = 0;
        std::size_t max_body_bytes = 0;
        // Part of the body for which there is memory.
        std::size_t reserved_bytes = 0;
        // Reading waits for memory.
        bool waits_for_memory = false;
    };

    // What a configuration determines for the request. The pointers refer to
    // objects of the configuration.
    struct route_binding {
        fleet_state::configuration_pointer configuration;
        const fleet_state::route* route = nullptr;
        const fleet_state::service* service = nullptr;
        // Empty without a valid key.
        std::string organisation;
    };

    // Whether the host accepts the request. Counts an accepted request.
    bool admit();
    // Looks up the route of the request and checks its key. If the
    // configuration does not allow the request, ends the call, which keeps its
    // present binding until then, and returns nullopt.
    std::optional<route_binding> find_binding(
        fleet_state::configuration_pointer configuration);
    void bind(route_binding binding);
    // Returns the organisation of the request's key. Ends the call and returns
    // nullopt if the route needs a key and the request has no valid one.
    std::optional<std::string> check_key(
        const fleet_state::configuration& configuration,
        const fleet_state::route& route);
    void select_server();
    void select_plain_server();
    // Ends the call because no backend server is left to try.
    void refuse_without_server();
    // Time until one of the servers to try may get requests again.
    base::duration time_to_next_server() const;
    // Whether the prompt segments of the request allow to send it now. If not,
    // ends the call or selects the server again later.
    bool check_segments();
    void on_segment_clearance(segment_clearance clearance);
    void refuse_quarantined();
    // Records that an engine sent an event of the request.
    void clear_segments();
    void end_trial();
    void search_engine();
    // The servers that the request must not be sent to.
    std::set<std::string> unsuitable_servers() const;
    // Whether all engines that are listed have other weights than the caller
    // expects.
    bool expects_unavailable_weights() const;
    // Whether the current attempt was rejected because of the weights.
    bool is_rejected_for_weights() const;
    // Ends the call because no engine has the expected weights.
    void reject_expected_weights();
    // Latest time to be granted a slot so that the first event is in time.
    base::time_point start_deadline() const;
    search_criteria make_search_criteria() const;
    void on_slot_granted(const slot_response& response,
                         const std::string& server);
    void on_engines_full(base::duration retry_after);
    // Binds the request to the newest configuration. Ends the call and returns
    // false if the request is no longer allowed.
    bool rebind();
    // Whether the binding allows what was decided after an earlier attempt: the
    // resumption of a stream, by the same service, or a second run.
    bool allows_another_attempt(const route_binding& binding) const;
    // Whether another server may resume the stream that has begun.
    bool may_resume(const fleet_state::route& route) const;
    overload::completion_estimate::server_load load_of(
        const fleet_state::backend_server& server) const;
    // Whether the caller must learn what became of the request before the
    // daemon stops.
    bool must_end_before_stop() const;
    // Whether the daemon stops before the server will have completed the
    // request, which must not run twice.
    bool would_outlast_stop(const fleet_state::backend_server& server) const;
    // Sends the request to the server unless the call is no longer valid.
    void send(const fleet_state::backend_server& server);
    // Counts the request at the server and returns an attempt with a
    // connection.
    attempt open_attempt(const fleet_state::backend_server& server,
                         const place_search* search);
    // Sends the request on the connection of an attempt.
    void start_exchange(const attempt& target);
    // Plain servers of the service, and whether each may get the request.
    std::vector<overload::plain_candidate> plain_candidates() const;

    // The following functions handle a second attempt, which is sent while the
    // first one is in progress and replaces it if it responds first.
    // `hedging::second_attempt_policy` decides whether one may be sent.
    void arm_second_attempt();
    void begin_second_attempt();
    void search_second_engine();
    void send_second(const fleet_state::backend_server& server);
    bool is_second(const backend_connection* connection) const {
        return second_ && second_->connection.get() == connection;
    }
    void on_second_body(std::string_view bytes);
    void on_second_end(exchange_result result, std::string_view reason);
    // Makes the second attempt the current one. The first one ended without a
    // usable response, or is ended now.
    void promote_second(bool first_ended);
    void cancel_second();
    // Ends the second attempt without a result.
    void close_second(bool keep_connection);
    // Work of the request, in the unit of the limit on second attempts.
    double work() const;
    // Records the time that the current attempt took to respond.
    void record_latency();

    // Returns false if the response belongs to another request.
    bool on_head(attempt& current, const net::message_head& head);
    // Applies what a server tells about itself in a response.
    void on_server_state(const fleet_state::backend_server& server, int status,
                         const fleet_state::response_description& description);
    void on_body(std::string_view bytes);
    // Reserves memory for a response that is delivered as a whole. If there is
    // none, stops reading the response and tries again later.
    void reserve_response(attempt& current, std::size_t bytes);
    // Adds a part of the body to a response that is delivered as a whole.
    void append_body(attempt& current, std::string_view bytes);
    void relay_events(std::string_view bytes);
    // Postpones the next read of the stream while the host is overloaded, so
    // that several events are relayed at once.
    void pace_reading();
    void on_exchange_end(exchange_result result, std::string_view reason);
    // Finds out whether the server of a broken attempt has ended, and if so
    // reports the segments of a request that had no event.
    void check_liveness();
    // Records whether the failure domain of the server can be reached.
    void update_reachability(exchange_result result);
    overload::attempt_outcome classify_attempt(const attempt& ended,
                                               exchange_result result) const;
    void handle_outcome(overload::attempt_outcome outcome,
                        std::string_view reason);
    void perform(overload::attempt_action action,
                 const overload::attempt_context& context);
    // Updates the status of the server and releases the slot. `attempt_` keeps
    // the response.
    void end_attempt(bool success, bool keep_connection);
    // Takes back the grant of an attempt that did not begin at its engine.
    void take_back_grant();
    // Returns a connection to the pool, or closes it if the instance of the
    // server gets no more requests.
    void return_connection(const fleet_state::backend_server& server,
                           std::shared_ptr<backend_connection> connection);
    void release_slot();
    // Replaces the expected cost of a stream that has ended by what it used.
    void correct_cost(call_outcome outcome);
    void on_deadline();

    // Ends the call with a 503 response if the request has not run, otherwise
    // with an error.
    void refuse(std::string_view cause, base::duration retry_after);
    void respond_error(int status, std::string_view cause);
    // Ends the call with the response of the current attempt.
    void deliver();
    // Releases all resources and reports the call. Has no effect on an ended
    // call.
    void finish(call_outcome outcome, std::string_view cause);

    base::duration time_left() const;
    // Whether the service runs on engines, which need a slot for each request.
    bool is_engine_request() const;

    call_environment& environment_;
    std::shared_ptr<net::caller_connection> caller_;
    net::caller_request request_;
    // A large body, which is moved out of `request_` when it is sent.
    std::shared_ptr<const std::string> large_body_;
    std::function<void(call*)> on_end_;
    fleet_state::request_description description_;
    fleet_state::configuration_pointer configuration_;
    const fleet_state::route* route_ = nullptr;
    const fleet_state::service* service_ = nullptr;
    std::string organisation_;
    base::time_point deadline_{};
    std::optional<base::timer_id> deadline_timer_;
    // Holds the slot of an engine request.
    std::shared_ptr<place_search> search_;
    // Weighted tokens that are charged to the organisation's share, as expected
    // when the request arrived.
    double cost_ = 0;
    // The cost was added to the organisation's usage as granted or refused.
    bool usage_counted_ = false;
    // When the current server was chosen or its engine granted the slot.
    base::time_point server_selected_at_{};
    // Ids of the prompt segments that other requests may have, too.
    std::vector<overload::segment_id> shared_segments_;
    // Number of the wait for clearance or of the trial, while there is one.
    std::optional<std::uint64_t> trial_;
    // The wait for clearance has ended in a trial.
    bool trial_granted_ = false;
    // Ids of the servers at which an attempt failed.
    std::set<std::string> excluded_servers_;
    std::optional<attempt> attempt_;
    // Second attempt in progress, and the slot that it holds or searches for.
    std::optional<attempt> second_;
    std::shared_ptr<place_search> second_search_;
    std::optional<base::timer_id> second_timer_;
    base::time_point second_selected_at_{};
    event_relay relay_;
    // Attempts in which bytes of the request may have left this host.
    std::uint32_t attempts_sent_ = 0;
    std::uint32_t connect_failures_ = 0;
    // The caller has been sent the head of the response.
    bool response_started_ = false;
    // Media type of a stream that has begun; a resumption must have the same.
    std::string response_media_type_;
    // A server may have run the request.
    bool may_have_run_ = false;
    bool ended_ = false;
    call_report report_;
};

}  // namespace bronzehub::entry

#endif
