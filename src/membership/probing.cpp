// The periodic work of `membership`: probing, suspicion and comparison of
// views.
#include <algorithm>
#include <optional>
#include <random>
#include <vector>

#include "membership/membership.hpp"

namespace bronzehub::membership {
namespace {

// Each dead member is contacted by some daemon about this often, so the cost
// per daemon falls as the fleet grows.
constexpr double dead_probes_per_member_and_period = 0.25;

// A daemon that has joined contacts an unknown seed or listed host only every
// few periods.
constexpr std::uint64_t periods_between_candidates = 4;

// Views are asked from this many members after a stop, in case one of them is
// gone or was stopped as well.
constexpr std::size_t views_after_stop = 3;

}  // namespace

// A process that was stopped finds every answer overdue. It must not blame the
// others for its own absence, so it starts its timeouts again.
void membership::detect_stop(base::time_point now) {
    const bool stopped = now - last_tick_ > options_.frozen_after;
    last_tick_ = now;
    if (refresh_until_ && now >= *refresh_until_) {
        refresh_until_.reset();
    }
    if (!stopped) {
        return;
    }
    ++counters_.resumptions;
    refresh_until_ = now + options_.refresh_timeout;
    current_.reset();
    relayed_.clear();
    requested_views_.clear();
    news_.clear();
    for (auto& [host, doubt] : suspicions_) {
        doubt = new_suspicion(now);
    }
    for (const peer_address& peer : random_live(views_after_stop, "")) {
        request_view(peer, claim_source::requested_view);
    }
    next_period_ = now + options_.period;
}

void membership::ask_others(base::time_point now) {
    if (!current_ || current_->answered || current_->asked_others ||
        now < current_->sent + options_.direct_timeout) {
        return;
    }
    current_->asked_others = true;
    const auto helpers = random_live(options_.indirect_probes, current_->host);
    for (const peer_address& helper : helpers) {
        ++counters_.indirect_probes;
        hooks_.send(helper,
                    protocol::probe_request{current_->id, current_->host,
                                            updates_for(helper.host)});
    }
}

// An objection can miss this daemon, so it asks the suspect itself before it
// declares it dead. With one check, a tenth of the messages lost still killed
// a live member of 30 or more within minutes.
void membership::check_suspects(base::time_point now) {
    std::vector<base::host_id> due;
    for (auto& [host, doubt] : suspicions_) {
        if (now >= doubt.next_check) {
            doubt.next_check += options_.direct_timeout;
            due.push_back(host);
        }
    }
    for (const base::host_id& host : due) {
        send_probe({host, find(host)->address}, next_probe_id_++, false);
    }
}

membership::suspicion membership::new_suspicion(base::time_point now) const {
    constexpr int checks = 3;
    const base::time_point end = now + suspicion_timeout();
    return {end, end - checks * options_.direct_timeout};
}

void membership::expire_suspicions(base::time_point now) {
    if (is_refreshing()) {
        return;
    }
    // News that queue delay objections too.
    const bool crowded = news_.size() > options_.updates_per_message;
    const base::duration delay =
        crowded ? suspicion_timeout() : base::duration{};
    std::vector<base::host_id> expired;
    for (const auto& [host, doubt] : suspicions_) {
        if (now >= doubt.end + delay) {
            expired.push_back(host);
        }
    }
    for (const base::host_id& host : expired) {
        member_update claim = to_update(*table_.find(host));
        claim.state = member_state::dead;
        apply(claim, claim_source::gossip);
    }
    // The objection may have missed this daemon; another member's view tells.
    if (!expired.empty()) {
        compare_soon(now);
    }
}

void membership::compare_soon(base::time_point now) {
    comparison_wait_ = {};
    next_comparison_ = std::min(next_comparison_, now + shortest_comparison());
}

base::duration membership::shortest_comparison() const {
    const auto members = static_cast<int>(table_.all().size());
    return std::max(options_.shortest_comparison,
                    members * options_.comparison_per_member);
}

void membership::run_period(base::time_point now) {
    ++periods_;
    next_period_ = std::max(next_period_ + options_.period, now);
    suspect_unanswered();
    probe_next(now);
    probe_dead();
    if (live_others() == 0 || periods_ % periods_between_candidates == 0) {
        probe_candidate();
    }
    compare_views(now);
    table_.forget_dead(now - options_.dead_retention);
    std::erase_if(relayed_, [now](const auto& entry) {
        return entry.second.expires < now;
    });
}

// Bounded retransmission can miss a member, above all while many start at once.
// A complete view now and then finds what was missed.
void membership::compare_views(base::time_point now) {
    if (now < next_comparison_) {
        return;
    }
    // Until it has joined, a daemon asks in each period: its seeds may have
    // started later and be members by now.
    const claim_source trust =
        joined_ ? claim_source::view : claim_source::requested_view;
    if (joined_) {
        // An answer brings the next comparison forward or puts it off.
        next_comparison_ = now + options_.longest_comparison;
    }
    for (const peer_address& peer : random_live(1, "")) {
        request_view(peer, trust);
    }
}

void membership::after_view(bool taught) {
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    joined_ = true;
    refresh_until_.reset();
    comparison_wait_ =
        taught ? shortest_comparison()
               : std::clamp(2 * comparison_wait_, shortest_comparison(),
                            options_.longest_comparison);
    next_comparison_ = time_.now() + std::chrono::duration_cast<base::duration>(
                                         comparison_wait_ * spread(random_));
}

void membership::suspect_unanswered() {
    if (!current_ || current_->answered || is_refreshing()) {
        return;
    }
    const member* target = table_.find(current_->host);
    if (target == nullptr || target->state == member_state::suspect ||
        target->state == member_state::dead) {
        return;
    }
    ++counters_.suspicions;
    member_update claim = to_update(*target);
    claim.state = member_state::suspect;
    apply(claim, claim_source::gossip);
}

void membership::probe_next(base::time_point now) {
    current_.reset();
    const auto host = next_probe_target();
    if (!host) {
        return;
    }
    current_ = direct_probe{next_probe_id_, *host, now};
    ++counters_.probes;
    send_probe({*host, table_.find(*host)->address}, next_probe_id_++, false);
}

std::optional<base::host_id> membership::next_probe_target() {
    // A probe of a dead member tells it so, and it objects when it is alive.
    while (!urgent_.empty()) {
        base::host_id host = urgent_.front();
        urgent_.pop_front();
        if (find(host) != nullptr) {
            return host;
        }
    }
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            base::host_id host = probe_order_.front();
            probe_order_.pop_front();
            const member* target = find(host);
            if (target != nullptr && target->is_live()) {
                return host;
            }
        }
        refill_probe_order();
    }
    return std::nullopt;
}

void membership::refill_probe_order() {
    for (const auto& [host, each] : table_.all()) {
        if (each.is_live()) {
            probe_order_.push_back(host);
        }
    }
    std::ranges::shuffle(probe_order_, random_);
}

// The probe tells the member that it is held dead; a member that is alive
// objects in its answer.
void membership::probe_dead() {
    const auto live = static_cast<double>(live_others() + 1);
    const auto dead = static_cast<double>(table_.dead_count());
    dead_probe_credit_ =
        std::min(1.0, dead_probe_credit_ +
                          dead * dead_probes_per_member_and_period / live);
    if (dead_probe_credit_ < 1.0 || table_.dead_count() == 0) {
        return;
    }
    dead_probe_credit_ -= 1.0;
    const auto& all = table_.all();
    auto next = all.upper_bound(last_dead_probed_);
    const auto dead_entry = [](const auto& entry) {
        return entry.second.state == member_state::dead;
    };
    next = std::find_if(next, all.end(), dead_entry);
    if (next == all.end()) {
        next = std::find_if(all.begin(), all.end(), dead_entry);
    }
    last_dead_probed_ = next->first;
    send_probe({next->first, next->second.address}, next_probe_id_++, false);
}

void membership::probe_candidate() {
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        next_candidate_ = (next_candidate_ + 1) % candidates_.size();
        const peer_address& candidate = candidates_[next_candidate_];
        if (candidate.host == self_.host || find(candidate.host) != nullptr) {
            continue;
        }
        if (joined_) {
            send_probe(candidate, next_probe_id_++, false);
        } else {
            request_view(candidate, claim_source::requested_view);
        }
        return;
    }
}

}  // namespace bronzehub::membership
