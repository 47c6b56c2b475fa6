#include "configuration/configuration_sync.hpp"

#include <algorithm>

namespace bronzehub::configuration {

std::string_view to_string(sync_state state) {
    switch (state) {
        case sync_state::starting:
            return "starting";
        case sync_state::no_source:
            return "no_source";
        case sync_state::empty_fleet:
            return "empty_fleet";
        case sync_state::behind:
            return "behind";
        case sync_state::level:
            return "level";
    }
    return "";
}

configuration_sync::configuration_sync(base::clock time, hooks outside,
                                       sync_timing timing)
    : time_(std::move(time)), outside_(std::move(outside)), timing_(timing) {
    note_behind();
}

std::uint64_t configuration_sync::version() const {
    return current_ == nullptr ? 0 : current_->version();
}

std::uint64_t configuration_sync::target() const {
    std::uint64_t highest = newest_heard_;
    for (const auto& [host, entry] : peers_) {
        highest = std::max(highest, entry.version);
    }
    return highest;
}

void configuration_sync::on_peer_version(const base::host_id& peer,
                                         std::uint64_t version) {
    peer_entry& entry = peers_[peer];
    entry.version = std::max(entry.version, version);
    note_behind();
}

void configuration_sync::on_peer_gone(const base::host_id& peer) {
    peers_.erase(peer);
    note_behind();
}

void configuration_sync::on_update(const configuration_update& update) {
    take(update);
}

// Remembers since when this daemon is behind, for the platform's turn.
void configuration_sync::note_behind() {
    const bool is_behind = current_ == nullptr || target() > version();
    if (!is_behind) {
        behind_since_.reset();
    } else if (!behind_since_.has_value()) {
        behind_since_ = time_.now();
    }
}

void configuration_sync::tick() {
    if (!is_waiting(peer_request_)) {
        ask_peer();
    }
    if (!is_waiting(platform_request_) && platform_is_due()) {
        ask_platform();
    }
}

// A request that takes too long is given up; its answer is still used when it
// arrives.
bool configuration_sync::is_waiting(request& current) const {
    if (current.sent && time_.now() - *current.sent < timing_.request_timeout) {
        return true;
    }
    current.sent.reset();
    return false;
}

// The peer that was asked longest ago among those that may help. A daemon
// without configuration asks every peer, whatever is known of its version.
const base::host_id* configuration_sync::choose_peer() const {
    const auto may_help = [&](const peer_entry& entry) {
        const bool rested =
            !entry.asked || time_.now() - *entry.asked >= timing_.retry_delay;
        return rested && (entry.version > version() ||
                          (current_ == nullptr && entry.version == 0));
    };
    const base::host_id* best = nullptr;
    for (const auto& [host, entry] : peers_) {
        if (may_help(entry) &&
            (best == nullptr || entry.asked < peers_.at(*best).asked)) {
            best = &host;
        }
    }
    return best;
}

void configuration_sync::ask_peer() {
    const base::host_id* chosen = choose_peer();
    if (chosen == nullptr) {
        return;
    }
    const base::host_id peer = *chosen;
    peers_[peer].asked = time_.now();
    peer_request_.sent = time_.now();
    const std::uint64_t attempt = ++peer_request_.attempt;
    outside_.fetch_from_peer(peer, version(),
                             [this, attempt](const answer& result) {
                                 on_peer_answer(attempt, result);
                             });
}

bool configuration_sync::platform_is_due() const {
    const base::time_point now = time_.now();
    if (platform_asked_ && now - *platform_asked_ < timing_.poll_interval) {
        return false;
    }
    if (polling_) {
        return true;
    }
    const bool no_peer = current_ == nullptr && peers_.empty();
    return no_peer ||
           (behind_since_ && now - *behind_since_ >= timing_.platform_delay);
}

void configuration_sync::ask_platform() {
    platform_asked_ = time_.now();
    platform_request_.sent = time_.now();
    const std::uint64_t attempt = ++platform_request_.attempt;
    outside_.fetch_from_platform(version(),
                                 [this, attempt](const answer& result) {
                                     on_platform_answer(attempt, result);
                                 });
}

void configuration_sync::on_peer_answer(std::uint64_t attempt,
                                        const answer& result) {
    if (attempt == peer_request_.attempt) {
        peer_request_.sent.reset();
    }
    if (!result.ok()) {
        ++counters_.failed;
        return;
    }
    take(*result);
}

void configuration_sync::on_platform_answer(std::uint64_t attempt,
                                            const answer& result) {
    if (attempt == platform_request_.attempt) {
        platform_request_.sent.reset();
    }
    platform_status_ = result.status();
    if (!result.ok()) {
        ++counters_.failed;
        return;
    }
    platform_is_empty_ = result->to_version == 0 && result->newest_version == 0;
    take(*result);
}

void configuration_sync::take(const configuration_update& update) {
    newest_heard_ = std::max(newest_heard_, update.newest_version);
    if (update.to_version <= version()) {
        ++counters_.stale;
    } else if (!update.snapshot.empty()) {
        take_snapshot(update);
    } else {
        take_changes(update);
    }
    note_behind();
}

void configuration_sync::take_snapshot(const configuration_update& update) {
    absl::StatusOr<fleet_configuration> next =
        read_configuration(update.snapshot);
    if (!next.ok() || next->version != update.to_version) {
        ++counters_.invalid;
        return;
    }
    adopt(*std::move(next), {});
}

void configuration_sync::take_changes(const configuration_update& update) {
    if (update.from_version > version()) {
        ++counters_.gaps;
        return;
    }
    if (update.from_version + update.changes.size() != update.to_version) {
        ++counters_.invalid;
        return;
    }
    // The request may have been sent before another update was applied.
    const std::span<const std::string> missing =
        std::span(update.changes)
            .subspan(static_cast<std::size_t>(version() - update.from_version));
    std::vector<configuration_change> changes;
    for (const std::string& text : missing) {
        absl::StatusOr<configuration_change> change = read_change(text);
        if (!change.ok()) {
            ++counters_.invalid;
            return;
        }
        changes.push_back(*std::move(change));
    }
    const fleet_configuration base =
        current_ == nullptr ? fleet_configuration{} : current_->value();
    absl::StatusOr<fleet_configuration> next = apply_all(base, changes);
    if (!next.ok()) {
        ++counters_.invalid;
        return;
    }
    adopt(*std::move(next), missing);
}

void configuration_sync::adopt(fleet_configuration next,
                               std::span<const std::string> changes) {
    current_ = std::make_shared<const configuration_snapshot>(std::move(next));
    log_.record(current_, changes);
    ++counters_.adopted;
    outside_.adopted(current_);
}

sync_state configuration_sync::state() const {
    if (current_ != nullptr) {
        return target() > version() ? sync_state::behind : sync_state::level;
    }
    if (target() > 0 || !platform_status_.has_value()) {
        return sync_state::starting;
    }
    if (platform_status_->ok()) {
        return platform_is_empty_ ? sync_state::empty_fleet
                                  : sync_state::starting;
    }
    return sync_state::no_source;
}

std::string configuration_sync::explain() const {
    std::string text(to_string(state()));
    text += ": version " + std::to_string(version()) + " in force, " +
            std::to_string(target()) + " known, " +
            std::to_string(peers_.size()) + " peers";
    if (platform_status_.has_value()) {
        text += ", platform: " + platform_status_->ToString();
    }
    return text;
}

}  // namespace bronzehub::configuration
