// The life of one caller's request: route, key, place, attempts, response.
//
// The decisions are those of the `overload` and `fleet_state` libraries; a call
// carries them out and reports each by one log line.
#ifndef BRONZEHUB_ENTRY_CALL_HPP
#define BRONZEHUB_ENTRY_CALL_HPP

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry/backend_pool.hpp"
#include "entry/backend_status.hpp"
#include "entry/call_report.hpp"
#include "entry/caller_connection.hpp"
#include "entry/event_relay.hpp"
#include "entry/fleet_watch.hpp"
#include "entry/place_search.hpp"
#include "entry/read_pacer.hpp"
#include "overload/attempt_policy.hpp"
#include "overload/domain_reachability.hpp"
#include "overload/host_admission.hpp"
#include "overload/host_load.hpp"
#include "overload/retry_window.hpp"
#include "overload/share_meter.hpp"

namespace bronzehub::entry {

// What calls use; outlives them.
struct call_environment {
    event_loop& loop;
    const fleet_watch& fleet;
    fleet_state::backend_directory& servers;
    backend_pool& pool;
    backend_status& status;
    schedule_link& schedule;
    overload::retry_window& retries;
    overload::domain_reachability& reach;
    overload::share_meter& shares;
    call_reporter& reporter;
    std::string failure_domain;
    // Keys that were read longer ago than this may have been taken away.
    base::duration max_key_age{};
    // Whether the daemon takes no new requests any more.
    std::function<bool()> draining;
    overload::host_load& load;
    overload::host_admission& admission;
    read_pacer& pacer;
    // Time in which an event of a stream must be passed on.
    base::duration max_delivery_delay{};
    search_environment search;
};

// Name of the organisation that holds the request's key; empty: none.
std::string_view organisation_of(
    const fleet_state::configuration& configuration,
    const fleet_state::request_description& request);

// Counts a request that a late host refuses before a call begins. Requests to
// plain services and those without a known key take no share.
void count_host_refusal(overload::share_meter& shares,
                        const fleet_state::configuration& configuration,
                        const fleet_state::request_description& request);

// Owned by shared pointer, which its callbacks hold until it has ended.
class call : public std::enable_shared_from_this<call> {
public:
    call(call_environment& environment,
         std::shared_ptr<caller_connection> caller, caller_request request,
         std::function<void(call*)> on_end);

    void start();

    // The caller left.
    void on_caller_disconnected();

private:
    // Part of the time to the first event in which a request may wait for a
    // place; the engine needs the rest to read the prompt.
    static constexpr double waiting_share = 0.5;
    // When no server is left to try: a listing is at most this old.
    static constexpr std::chrono::milliseconds no_server_retry{1000};

    struct attempt {
        std::string server;
        std::string failure_domain;
        std::uint64_t health_epoch = 0;
        std::shared_ptr<backend_connection> connection;
        base::time_point sent_at{};
        int status = 0;
        base::http_headers headers;
        fleet_state::response_description facts;
        std::string body;
        bool is_stream = false;
        // Goes on with a stream that another server began.
        bool resumes = false;
        std::size_t max_body_bytes = 0;
    };

    bool is_admitted();
    bool find_route();
    bool check_key();
    void choose_service();
    void place();
    void place_plain();
    void place_engine();
    search_criteria describe_place() const;
    void on_place(const slot_response& answer, const std::string& server);
    void on_engines_full(base::duration retry_after);
    bool still_valid();
    // Whether the response that has begun may go on at another server.
    bool may_resume() const;
    void send(const fleet_state::backend_server& server);
    bool on_head(const message_head& head);
    void on_body(std::string_view bytes);
    void relay_events(std::string_view bytes);
    void pace_reading();
    void on_end(exchange_result how, std::string_view reason);
    void note_reach(exchange_result how);
    overload::attempt_outcome judge(exchange_result how) const;
    void after_attempt(overload::attempt_outcome end, std::string_view reason);
    void carry_out(overload::attempt_action action,
                   const overload::attempt_context& context);
    void end_attempt(bool good, bool keep_connection);
    void release_place();
    void on_deadline();

    void refuse(std::string_view cause, base::duration retry_after);
    void respond_error(int status, std::string_view cause);
    void deliver();
    void finish(call_outcome outcome, std::string_view cause);

    base::duration time_left() const;
    bool engine_work() const;

    call_environment& environment_;
    std::shared_ptr<caller_connection> caller_;
    caller_request request_;
    std::function<void(call*)> on_end_;
    fleet_state::request_description description_;
    fleet_state::configuration_pointer configuration_;
    const fleet_state::route* route_ = nullptr;
    const fleet_state::service* service_ = nullptr;
    std::string organisation_;
    base::time_point deadline_{};
    std::optional<base::timer_id> deadline_timer_;
    std::shared_ptr<place_search> search_;
    // The work was counted as granted or refused.
    bool share_counted_ = false;
    base::time_point placed_at_{};
    std::set<std::string> avoided_;
    std::optional<attempt> attempt_;
    event_relay relay_;
    std::uint32_t attempts_sent_ = 0;
    std::uint32_t connect_failures_ = 0;
    bool response_started_ = false;
    std::string response_media_type_;
    bool may_have_run_ = false;
    bool ended_ = false;
    call_report report_;
};

}  // namespace bronzehub::entry

#endif
