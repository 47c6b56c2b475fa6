// Requests and grants slots on model engines across the entry hosts.
//
// Each engine is owned by one host, which runs its scheduler. A host that has a
// call for the engine, the requester, sends the owner a slot request. This
// class implements both sides: `engine_scheduler` decides on requests and
// `host_directory` determines owners, while this class transports the messages
// as datagrams, retransmits a request that is not answered, and sends it to the
// next owner when the owner is unresponsive.
#ifndef BRONZEHUB_ENTRY_SCHEDULE_LINK_HPP
#define BRONZEHUB_ENTRY_SCHEDULE_LINK_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cold_start/schedule_gate.hpp"
#include "entry/host_directory.hpp"
#include "entry/schedule_messages.hpp"
#include "net/event_loop.hpp"
#include "overload/engine_scheduler.hpp"

namespace bronzehub::entry {

// A request for a slot on an engine: the right to run one request there.
struct slot_request {
    // Name of the engine, by which its owner is chosen.
    std::string engine;
    // Id of the backend server that runs the engine.
    std::string server;
    // Failure domain of that server.
    std::string failure_domain;
    overload::engine_capacity capacity;
    // `request_slot` fills in the field `id`.
    overload::scheduled_request scheduled_request;
};

// The final decision on a slot request.
struct slot_response {
    // The number that `request_slot` returned.
    std::uint64_t number = 0;
    bool granted = false;
    // The engine can't be reached; another one may have a free slot.
    bool unreachable = false;
    // The engine has just started and gets no more requests now; another one
    // may have a free slot.
    bool paced = false;
    // Latest time at which a granted request may be sent to the engine.
    base::time_point send_before = base::time_point::max();
    // After a refusal: the time after which the caller should retry.
    base::duration retry_after{};
    // Name of the host that decided.
    std::string owner;
};

// Sends a datagram to "IP:port".
using datagram_sender =
    std::function<void(const std::string& address, std::string_view bytes)>;

// Timer functions of the event loop, replaceable in tests.
struct timer_functions {
    std::function<base::timer_id(base::duration, std::function<void()>)>
        run_after;
    std::function<void(base::timer_id)> cancel;
};

// Not thread-safe.
class schedule_link {
public:
    // A request without a response is retransmitted after this time. A round
    // trip takes a few ms, but a host with a fraction of a core may stall for
    // 100 ms.
    static constexpr std::chrono::milliseconds retransmit_timeout{60};
    // An owner that has not answered a request for this long is marked suspect,
    // and the request goes to the next owner.
    static constexpr std::chrono::milliseconds owner_timeout{150};
    // Interval at which a host sends the owners the list of its granted
    // requests, the inventory.
    static constexpr std::chrono::milliseconds inventory_interval{500};
    // The owner releases the requests of a host from which it has received no
    // inventory for this long.
    static constexpr std::chrono::milliseconds host_timeout{2500};
    // An inventory does not end requests that were granted less than this time
    // ago, because the requester may have sent it before the grant arrived.
    static constexpr std::chrono::milliseconds inventory_grace_period{300};

    // Time for which `was_recently_refused` reports a refusal. An engine frees
    // a slot about this often.
    static constexpr std::chrono::milliseconds refusal_hint_lifetime{60};
    // A waiting request without a decision this long after its latest start is
    // treated as refused: the owner or the response was lost.
    static constexpr std::chrono::milliseconds response_grace_period{100};
    // `retry_after` of such a request.
    static constexpr std::chrono::milliseconds lost_response_retry_after{500};

    using response_callback = std::function<void(const slot_response&)>;

    schedule_link(host_directory& hosts, const overload::fleet_shares& shares,
                  base::clock clock, timer_functions timers,
                  datagram_sender send, std::uint64_t incarnation);

    // Requests a slot and returns the number of the request. `on_response` is
    // called exactly once, possibly before the function returns, unless
    // `release` is called first.
    std::uint64_t request_slot(slot_request request,
                               response_callback on_response);

    // Reports to the owner that the first event of a granted request arrived
    // this long after the grant, and whether that met the latency target.
    void report_first_event(std::uint64_t number, base::duration since_grant,
                            bool in_time);

    // Whether a slot on this server was refused within the last
    // `refusal_hint_lifetime`, so that a new request would likely be refused.
    bool was_recently_refused(std::string_view server) const;

    // Whether the server was over its pace when last asked and still is. A new
    // request for a slot there would be refused.
    bool is_paced(std::string_view server) const;
    bool any_paced() const;

    // Limits the grants on cold engines from now on.
    using find_cold_terms =
        std::function<std::optional<cold_start::engine_terms>(
            std::string_view engine)>;
    void set_cold_terms(find_cold_terms find);

    // Frees the slot, or withdraws the request if it is not granted yet.
    void release(std::uint64_t number);
    // Frees the slot of a request that could not be sent, because no server
    // accepts connections at the address of the engine.
    void release_unreached(std::uint64_t number);

    // Withdraws the requests of this host that wait for an engine in these
    // failure domains, oldest first; the response to each tells that the engine
    // is unreachable. Returns their number.
    std::size_t withdraw_waiting(
        const std::set<std::string, std::less<>>& failure_domains);

    // Handles messages of the types that this class sends; ignores others.
    void on_message(const std::string& from, const host_message& message);

    // Refuses waiting requests that can no longer start in time. To be called
    // every few ms.
    void tick();
    // Sends the owners the list of granted requests, and releases the requests
    // of hosts that have timed out. To be called every `inventory_interval`.
    void send_inventory();

    // Removes the idle schedulers of engines for which `is_known` returns
    // false.
    void remove_unknown_engines(
        const std::function<bool(std::string_view)>& is_known);

    struct statistics {
        // Calls of `request_slot`.
        std::uint64_t requests = 0;
        // Datagrams with a slot request, and retransmissions among them.
        std::uint64_t remote_requests = 0;
        std::uint64_t repeated_requests = 0;
        // Requests that an owner did not answer within `owner_timeout`.
        std::uint64_t owners_passed_over = 0;
        // Waiting requests that ended without a decision.
        std::uint64_t lost_responses = 0;
        // Slot requests that this host refused to grant because the engine was
        // cold, and grants on cold engines that came too late to be used.
        std::uint64_t paced_requests = 0;
        std::uint64_t expired_grants = 0;
        // Requests on the engines that this host owns, and its schedulers.
        std::uint64_t running = 0;
        std::uint64_t waiting = 0;
        std::uint64_t schedulers = 0;
    };
    statistics read_statistics() const;

private:
    // A request of this host that waits for a response or holds a slot.
    struct open_request {
        slot_request request;
        response_callback on_response;
        entry_host owner;
        bool granted = false;
        // Whether the first event has arrived.
        bool started = false;
        // Whether the request was retransmitted to its present owner.
        bool repeated = false;
        // When the request was first sent to its present owner.
        base::time_point requested_at;
        std::optional<base::timer_id> timer;
    };

    // Returns the scheduler of the engine with its capacity updated.
    overload::engine_scheduler& find_or_create_scheduler(
        const std::string& engine, overload::engine_capacity capacity);
    void send_request(std::uint64_t number);
    // Starts the timer that retransmits a request without a response, and that
    // sends it to the next owner the second time.
    void start_response_timer(std::uint64_t number);
    void on_engine_event(const std::string& engine,
                         const overload::scheduled_request_id& id,
                         bool in_time);
    void on_engine_release(const std::string& engine,
                           const overload::scheduled_request_id& id,
                           bool reached);
    // Starts the timer that refuses a waiting request without a decision.
    void start_decision_timer(std::uint64_t number);
    void submit_locally(std::uint64_t number);
    void end_request(std::uint64_t number, bool reached);
    void on_slot_response(std::uint64_t number,
                          const cold_start::slot_decision& decided);
    void on_slot_response_message(const host_message& message);
    void on_slot_request(const std::string& from, const host_message& message);
    void on_inventory(const std::string& from, const host_message& message);
    scheduled_request_message encode_request(std::uint64_t number,
                                             const open_request& entry) const;
    overload::scheduled_request decode_request(
        const std::string& requester,
        const scheduled_request_message& message) const;
    void send_message(const std::string& address, host_message message);
    void send_response(const overload::scheduled_request_id& id,
                       const std::string& engine,
                       const cold_start::slot_decision& decision);

    host_directory& hosts_;
    const overload::fleet_shares& shares_;
    base::clock clock_;
    timer_functions timers_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    std::uint64_t next_number_ = 1;
    std::unordered_map<std::uint64_t, open_request> open_requests_;
    // Schedulers of the engines that this host owns or owned, by engine.
    std::map<std::string, std::unique_ptr<overload::engine_scheduler>,
             std::less<>>
        schedulers_;

    struct remote_host {
        std::string address;
        // When the last inventory arrived.
        base::time_point last_inventory_at;
    };
    // Requesters other than this host, by `requester_id`.
    std::map<std::string, remote_host> remote_hosts_;
    // When a slot was last refused, by server id.
    std::map<std::string, base::time_point, std::less<>> refused_at_;
    // Until when `is_paced` holds, by server id.
    std::map<std::string, base::time_point, std::less<>> paced_until_;
    cold_start::schedule_gate gate_;
    statistics statistics_;
};

}  // namespace bronzehub::entry

#endif
