#include "entry/place_search.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "overload/placement.hpp"

namespace bronzehub::entry {

place_search::place_search(search_environment& environment,
                           search_criteria criteria, search_callbacks callbacks)
    : environment_(environment),
      criteria_(std::move(criteria)),
      callbacks_(std::move(callbacks)) {
    const auto shared = overload::shared_segments(criteria_.prompt);
    criteria_.request.shared_segments.assign(shared.begin(), shared.end());
}

void place_search::start(const std::set<std::string>& excluded,
                         base::time_point start_deadline,
                         base::time_point extended_start_deadline) {
    // A callback may release the last other reference.
    const auto self = shared_from_this();
    criteria_.request.start_deadline = start_deadline;
    criteria_.request.extended_start_deadline = extended_start_deadline;
    excluded_ = excluded;
    min_retry_after_ = base::duration::max();
    begin_round();
}

void place_search::begin_round() {
    candidates_ = find_candidates();
    // Each slot request takes a turn of the event loop. On an overloaded host,
    // requests that tried several engines before they wait would start too
    // late, and organisations whose callers use this host would lose their
    // share to others. The request therefore waits at once.
    next_candidate_ = environment_.load.is_late() ? candidates_.size() : 0;
    final_round_ = false;
    if (candidates_.empty()) {
        if (environment_.schedule.any_paced()) {
            min_retry_after_ =
                std::min<base::duration>(min_retry_after_, paced_retry_after);
            report_full();
            return;
        }
        callbacks_.on_no_server();
        return;
    }
    request_next();
}

std::vector<std::string> place_search::find_candidates() const {
    const auto all = environment_.engines.candidates(criteria_.service);
    std::vector<overload::engine_candidate> usable;
    usable.reserve(all.size());
    const bool any_limited = environment_.status.any_limited();
    const bool any_paced = environment_.schedule.any_paced();
    const auto is_paced = [&](const std::string& server) {
        return any_paced && environment_.schedule.is_paced(server);
    };
    const auto probed = environment_.reachability.domain_due_for_probe();
    std::ranges::copy_if(
        all, std::back_inserter(usable), [&](const auto& each) {
            const std::string& domain = each.server->failure_domain;
            return !excluded_.contains(each.server->id) &&
                   !is_paced(each.server->id) &&
                   (!environment_.reachability.is_unreachable(domain) ||
                    domain == probed) &&
                   (!any_limited ||
                    environment_.status.allows_request(each.server->id));
        });
    if (usable.empty()) {
        // All engines failed recently. One of them may work again.
        std::ranges::copy_if(
            all, std::back_inserter(usable), [&](const auto& each) {
                return !excluded_.contains(each.server->id) &&
                       !is_paced(each.server->id) &&
                       !environment_.status.is_paused(each.server->id);
            });
    }
    std::ranges::for_each(usable, [&](auto& each) {
        each.is_full =
            environment_.schedule.was_recently_refused(each.server->id);
    });
    const auto chosen =
        overload::choose_engines({criteria_.prompt, preferred_domain(),
                                  criteria_.spread_hash, !excluded_.empty()},
                                 usable, candidate_count());
    std::vector<std::string> result;
    std::ranges::transform(chosen, std::back_inserter(result),
                           [](const auto* server) { return server->id; });
    return result;
}

// An additional home engine has to prefill the segment once more, which costs
// all organisations capacity. An organisation at its max-min fair share is
// refused some requests in any case; one below it must not be limited by full
// home engines of its segment.
bool place_search::may_use_additional_homes() const {
    return environment_.shares.is_below_fair_share(
        criteria_.request.organisation);
}

// Engines of this failure domain normally serve only callers of the domain. An
// underserved organisation, which got clearly less than its fair share, uses
// the engines of all domains alike, so that its share does not depend on the
// demand of other callers in this domain.
std::string_view place_search::preferred_domain() const {
    return environment_.shares.is_underserved(criteria_.request.organisation)
               ? std::string_view()
               : environment_.failure_domain;
}

std::size_t place_search::candidate_count() const {
    if (!overload::allows_remote_homes(criteria_.prompt)) {
        return default_candidate_count;
    }
    return may_use_additional_homes()
               ? environment_.demand.home_count(
                     overload::shared_segments(criteria_.prompt).back().id)
               : overload::segment_demand::min_homes;
}

void place_search::request_next() {
    const bool no_candidate_left = next_candidate_ >= candidates_.size();
    if (no_candidate_left &&
        (criteria_.only_if_free || std::exchange(final_round_, true))) {
        report_full();
        return;
    }
    const std::size_t wait_index =
        may_use_additional_homes() ? criteria_.spread_hash % candidates_.size()
                                   : 0;
    const std::string id = no_candidate_left ? candidates_[wait_index]
                                             : candidates_[next_candidate_++];
    if (!final_round_ && environment_.schedule.was_recently_refused(id)) {
        request_next();
        return;
    }
    const auto* server = environment_.servers.find_available(id);
    if (server != nullptr && !environment_.status.is_paused(id)) {
        request_slot(*server);
    } else if (final_round_) {
        // The server was lost since it was chosen, and the others may have free
        // slots.
        begin_round();
    } else {
        request_next();
    }
}

void place_search::request_slot(const fleet_state::backend_server& server) {
    slot_request request;
    request.engine = instance_name(server);
    request.server = server.id;
    request.failure_domain = server.failure_domain;
    request.capacity = criteria_.capacity;
    request.scheduled_request = criteria_.request;
    request.scheduled_request.may_wait = final_round_;
    const std::uint64_t sequence = ++sequence_;
    const auto number = environment_.schedule.request_slot(
        std::move(request), [self = shared_from_this(), sequence,
                             id = server.id](const slot_response& response) {
            self->on_response(sequence, response, id);
        });
    // The response may have arrived already and caused another slot request.
    if (sequence_ == sequence) {
        slot_number_ = number;
    }
}

void place_search::on_response(std::uint64_t sequence,
                               const slot_response& response,
                               const std::string& server) {
    if (sequence != sequence_) {
        return;
    }
    ++sequence_;
    schedule_owner_ = response.owner;
    send_before_ = response.send_before;
    if (response.granted) {
        slot_number_ = response.number;
        callbacks_.on_granted(response, server);
        return;
    }
    slot_number_.reset();
    if (response.unreachable || response.paced) {
        excluded_.insert(server);
        if (final_round_) {
            begin_round();
            return;
        }
    } else {
        min_retry_after_ = std::min(min_retry_after_, response.retry_after);
    }
    request_next();
}

void place_search::report_full() {
    if (!criteria_.only_if_free &&
        overload::allows_remote_homes(criteria_.prompt)) {
        environment_.demand.on_homes_full(
            overload::shared_segments(criteria_.prompt).back().id);
    }
    callbacks_.on_full(
        std::min<base::duration>(min_retry_after_, max_full_retry_after));
}

void place_search::release() {
    ++sequence_;
    if (slot_number_) {
        environment_.schedule.release(
            *std::exchange(slot_number_, std::nullopt));
    }
}

void place_search::release_unreached() {
    ++sequence_;
    if (slot_number_) {
        environment_.schedule.release_unreached(
            *std::exchange(slot_number_, std::nullopt));
    }
}

void place_search::try_next() {
    const auto self = shared_from_this();
    release();
    if (final_round_) {
        begin_round();
    } else {
        request_next();
    }
}

}  // namespace bronzehub::entry
