// Finds a place on an engine for one request.
//
// The best engines are asked in turn; when all of them are full, the request
// waits at the first. Decides only: asks go out through `schedule_link`, whose
// datagrams and timers are hooks, so that a test can replay a whole fleet's
// load on the paused clock.
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

// What searches use; outlives them.
struct search_environment {
    const fleet_state::backend_directory& servers;
    engine_pool& engines;
    backend_status& status;
    schedule_link& schedule;
    overload::segment_demand& heat;
    overload::domain_reachability& reach;
    const overload::host_load& load;
    const overload::fleet_shares& shares;
    std::string failure_domain;
};

struct search_criteria {
    std::string service;
    overload::engine_capacity options;
    // Ids of the request and of its parts decide where it runs.
    std::vector<fleet_state::prompt_segment> prompt;
    std::uint64_t spread = 0;
    // `id`, `shared` and `may_wait` are filled in.
    overload::scheduled_request work;
};

struct search_hooks {
    std::function<void(const slot_response&, const std::string& server)> placed;
    // No engine is left to ask.
    std::function<void()> no_server;
    // Every engine that was asked is full.
    std::function<void(base::duration retry_after)> full;
};

// Not thread-safe. Owned by shared pointer, which its asks hold. A hook may
// release the search or start it again.
class place_search : public std::enable_shared_from_this<place_search> {
public:
    // Engines that are asked for a place before a request waits at the first.
    static constexpr std::size_t engine_candidates = 3;
    // When no schedule said when to come back.
    static constexpr std::chrono::milliseconds longest_full_retry{20000};

    place_search(search_environment& environment, search_criteria wanted,
                 search_hooks hooks);

    // Looks for a place on an engine that is not in `avoided`. The place of an
    // earlier search must have been released. `start_by` and `give_up_by` are
    // those of the work.
    void start(const std::set<std::string>& avoided, base::time_point start_by,
               base::time_point give_up_by);

    // The place that is held or asked for.
    std::optional<std::uint64_t> number() const { return number_; }
    // The host that decided last.
    const std::string& owner() const { return owner_; }

    // Gives the place back or withdraws the ask.
    void release();

    // The place was granted, but its server is gone: goes on with the others.
    void skip();

private:
    std::vector<std::string> candidates(
        const std::set<std::string>& avoided) const;
    std::size_t candidate_count() const;
    // Empty: none.
    std::string_view preferred_domain() const;
    // Whether the request may go to further homes of its part.
    bool may_spread() const;
    void ask_next();
    void ask(const fleet_state::backend_server& server);
    void on_answer(std::uint64_t ask_number, const slot_response& answer,
                   const std::string& server);
    void refuse_full();

    search_environment& environment_;
    search_criteria wanted_;
    search_hooks hooks_;
    std::vector<std::string> candidates_;
    std::size_t next_candidate_ = 0;
    bool waiting_round_ = false;
    base::duration shortest_retry_ = base::duration::max();
    std::optional<std::uint64_t> number_;
    // Counts asks, so that an answer that comes within an ask is told apart.
    std::uint64_t asks_ = 0;
    std::string owner_;
};

}  // namespace bronzehub::entry

#endif
