// Finds an engine with a free slot for one request.
//
// A slot is the right to run one request on an engine. The search requests a
// slot from the best engines in turn; if all of them are full, the request
// waits at one of them. The class does no I/O: it uses `schedule_link`, whose
// datagrams and timers are callbacks, so that a test can replay the load of a
// whole fleet with a simulated clock.
#ifndef BRONZEHUB_ENTRY_PLACE_SEARCH_HPP
#define BRONZEHUB_ENTRY_PLACE_SEARCH_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/backend_status.hpp"
#include "entry/engine_pool.hpp"
#include "entry/schedule_link.hpp"
#include "fleet_state/backend_servers.hpp"
#include "overload/domain_reachability.hpp"
#include "overload/host_load.hpp"
#include "overload/segment_demand.hpp"

namespace bronzehub::entry {

// Objects that all searches of a host share. Must outlive the searches.
struct search_environment {
    const fleet_state::backend_directory& servers;
    engine_pool& engines;
    backend_status& status;
    schedule_link& schedule;
    overload::segment_demand& demand;
    overload::domain_reachability& reachability;
    const overload::host_load& load;
    const overload::fleet_shares& shares;
    std::string failure_domain;
};

// What a request needs of an engine.
struct search_criteria {
    std::string service;
    // Capacity of each engine of the service.
    overload::engine_capacity capacity;
    // Requests with the same prompt segment share its cached tokens, so the ids
    // of shared segments determine the preferred engines.
    std::vector<fleet_state::prompt_segment> prompt;
    // Hash of the request id, which spreads requests over equal engines.
    std::uint64_t spread_hash = 0;
    // The search sets `shared_segments`, the deadlines and `may_wait`;
    // `schedule_link` sets `id`.
    overload::scheduled_request request;
    // The search ends without a slot if no candidate has a free one, instead of
    // waiting at one of them.
    bool only_if_free = false;
};

// One of these is called after each `start` or `try_next`, unless the search is
// released first.
struct search_callbacks {
    // An engine granted a slot. `server` is the id of its backend server.
    std::function<void(const slot_response&, const std::string& server)>
        on_granted;
    // There is no engine to which the request could be sent.
    std::function<void()> on_no_server;
    // All candidates refused a slot or were removed meanwhile.
    std::function<void(base::duration retry_after)> on_full;
};

// Not thread-safe. Owned by shared pointers, of which each open slot request
// holds one. A callback may release the search, start it again, or drop its
// owner's reference.
class place_search : public std::enable_shared_from_this<place_search> {
public:
    // Engines to try for a request whose shared prompt segments are too short
    // to make a transfer to another failure domain worthwhile.
    static constexpr std::size_t default_candidate_count = 3;
    // Upper limit of `retry_after` in `on_full`, and its value if no engine
    // gave one.
    static constexpr std::chrono::milliseconds max_full_retry_after{20000};
    // `retry_after` if engines were only left out because they are cold: the
    // pace of a cold engine is counted in seconds.
    static constexpr std::chrono::milliseconds paced_retry_after{1000};

    place_search(search_environment& environment, search_criteria criteria,
                 search_callbacks callbacks);

    // Searches for a slot on an engine that is not in `excluded`, which holds
    // ids of backend servers. A slot from an earlier search must have been
    // released. `start_deadline` is the latest start that meets the latency
    // target. Requests of an underserved organisation, which got clearly less
    // than its fair share, may start until `extended_start_deadline`.
    void start(const std::set<std::string>& excluded,
               base::time_point start_deadline,
               base::time_point extended_start_deadline);

    // Number of the slot request that is open or granted, if any.
    std::optional<std::uint64_t> slot_number() const { return slot_number_; }
    // Latest time at which the request may be sent on the granted slot.
    base::time_point send_before() const { return send_before_; }
    // Name of the host that sent the last response, as owner of the engine's
    // schedule.
    const std::string& schedule_owner() const { return schedule_owner_; }

    // Releases the slot or cancels the open slot request.
    void release();
    // Releases the slot of a request that could not be sent, because no server
    // accepts connections at the address of the engine.
    void release_unreached();

    // Releases a granted slot whose backend server can't be used any more, and
    // continues with the next candidate.
    void try_next();

private:
    // Chooses the candidates anew and requests a slot from the first.
    void begin_round();
    // Returns the ids of the servers to try, best first.
    std::vector<std::string> find_candidates() const;
    std::size_t candidate_count() const;
    // Failure domain whose engines are preferred; empty for no preference.
    std::string_view preferred_domain() const;
    // Whether the request may use more than the minimum number of home engines
    // of its shared segment. Home engines are those that keep the segment's
    // tokens in their caches.
    bool may_use_additional_homes() const;
    void request_next();
    void request_slot(const fleet_state::backend_server& server);
    void on_response(std::uint64_t sequence, const slot_response& response,
                     const std::string& server);
    void report_full();

    search_environment& environment_;
    search_criteria criteria_;
    search_callbacks callbacks_;
    std::set<std::string> excluded_;
    std::vector<std::string> candidates_;
    std::size_t next_candidate_ = 0;
    // The last slot request is made, at an engine where the request may wait.
    bool final_round_ = false;
    // Shortest time that a refusing engine gave.
    base::duration min_retry_after_ = base::duration::max();
    std::optional<std::uint64_t> slot_number_;
    // Changes with each slot request and response, to detect responses that are
    // outdated or that arrive before `request_slot` returns.
    std::uint64_t sequence_ = 0;
    std::string schedule_owner_;
    base::time_point send_before_ = base::time_point::max();
};

}  // namespace bronzehub::entry

#endif
