#include "entry/place_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "overload/placement.hpp"

namespace bronzehub::entry {

place_search::place_search(search_environment& environment,
                           search_criteria wanted, search_hooks hooks)
    : environment_(environment),
      wanted_(std::move(wanted)),
      hooks_(std::move(hooks)) {
    const auto shared = overload::shared_segments(wanted_.prompt);
    wanted_.work.shared_segments.assign(shared.begin(), shared.end());
}

void place_search::start(const std::set<std::string>& avoided,
                         base::time_point start_by,
                         base::time_point give_up_by) {
    wanted_.work.start_deadline = start_by;
    wanted_.work.extended_start_deadline = give_up_by;
    candidates_ = candidates(avoided);
    // Each ask costs a late host a turn of its loop. Requests that ask around
    // before they wait would be too late to be served, and the organisation
    // whose callers come to this host would lose its share to others.
    next_candidate_ = environment_.load.is_late() ? candidates_.size() : 0;
    waiting_round_ = false;
    if (candidates_.empty()) {
        hooks_.no_server();
        return;
    }
    ask_next();
}

std::vector<std::string> place_search::candidates(
    const std::set<std::string>& avoided) const {
    const auto all = environment_.engines.candidates(wanted_.service);
    std::vector<overload::engine_candidate> usable;
    usable.reserve(all.size());
    const bool any_limited = environment_.status.any_limited();
    const auto probed = environment_.reach.domain_due_for_probe();
    std::ranges::copy_if(
        all, std::back_inserter(usable), [&](const auto& each) {
            const std::string& domain = each.server->failure_domain;
            return !avoided.contains(each.server->id) &&
                   (!environment_.reach.is_unreachable(domain) ||
                    domain == probed) &&
                   (!any_limited ||
                    environment_.status.allows(each.server->id));
        });
    if (usable.empty()) {
        // Every engine failed of late: one of them may be back.
        std::ranges::copy_if(all, std::back_inserter(usable),
                             [&](const auto& each) {
                                 return !avoided.contains(each.server->id);
                             });
    }
    std::ranges::for_each(usable, [&](auto& each) {
        each.is_full =
            environment_.schedule.was_recently_refused(each.server->id);
    });
    const auto chosen = overload::choose_engines(
        {wanted_.prompt, preferred_domain(), wanted_.spread, !avoided.empty()},
        usable, candidate_count());
    std::vector<std::string> result;
    std::ranges::transform(chosen, std::back_inserter(result),
                           [](const auto* server) { return server->id; });
    return result;
}

// A further home reads the part once more, which takes from all. An
// organisation that got as much as any can get is refused some work in any
// case; one that got less must not be held up by the engines of its part.
bool place_search::may_spread() const {
    return environment_.shares.is_below_fair_share(wanted_.work.organisation);
}

// The engines nearby serve this domain's callers only. An organisation that is
// short of its share takes the engines of all domains alike, so that it does
// not depend on who else has callers here.
std::string_view place_search::preferred_domain() const {
    return environment_.shares.is_underserved(wanted_.work.organisation)
               ? std::string_view()
               : environment_.failure_domain;
}

std::size_t place_search::candidate_count() const {
    if (!overload::allows_remote_homes(wanted_.prompt)) {
        return engine_candidates;
    }
    return may_spread()
               ? environment_.heat.home_count(
                     overload::shared_segments(wanted_.prompt).back().id)
               : overload::segment_demand::min_homes;
}

void place_search::ask_next() {
    const bool last_round = next_candidate_ >= candidates_.size();
    if (last_round && std::exchange(waiting_round_, true)) {
        refuse_full();
        return;
    }
    const std::size_t waits_at =
        may_spread() ? wanted_.spread % candidates_.size() : 0;
    const std::string id =
        last_round ? candidates_[waits_at] : candidates_[next_candidate_++];
    if (!waiting_round_ && environment_.schedule.was_recently_refused(id)) {
        ask_next();
        return;
    }
    const auto* server = environment_.servers.find_available(id);
    if (server != nullptr) {
        ask(*server);
    } else if (waiting_round_) {
        refuse_full();
    } else {
        ask_next();
    }
}

void place_search::ask(const fleet_state::backend_server& server) {
    slot_request request;
    request.engine = start_name(server);
    request.server = server.id;
    request.failure_domain = server.failure_domain;
    request.options = wanted_.options;
    request.work = wanted_.work;
    request.work.may_wait = waiting_round_;
    const std::uint64_t current = ++asks_;
    const auto number = environment_.schedule.request_slot(
        std::move(request), [self = shared_from_this(), current,
                             id = server.id](const slot_response& answer) {
            self->on_answer(current, answer, id);
        });
    // The answer may have come already, and with it another ask.
    if (asks_ == current) {
        number_ = number;
    }
}

void place_search::on_answer(std::uint64_t ask_number,
                             const slot_response& answer,
                             const std::string& server) {
    if (ask_number != asks_) {
        return;
    }
    ++asks_;
    owner_ = answer.owner;
    if (answer.granted) {
        number_ = answer.number;
        hooks_.placed(answer, server);
        return;
    }
    number_.reset();
    shortest_retry_ = std::min(shortest_retry_, answer.retry_after);
    ask_next();
}

void place_search::refuse_full() {
    if (overload::allows_remote_homes(wanted_.prompt)) {
        environment_.heat.on_homes_full(
            overload::shared_segments(wanted_.prompt).back().id);
    }
    hooks_.full(std::min<base::duration>(shortest_retry_, longest_full_retry));
}

void place_search::release() {
    ++asks_;
    if (number_) {
        environment_.schedule.release(*std::exchange(number_, std::nullopt));
    }
}

void place_search::skip() {
    release();
    ask_next();
}

}  // namespace bronzehub::entry
