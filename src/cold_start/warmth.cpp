#include "cold_start/warmth.hpp"

#include <algorithm>

namespace bronzehub::cold_start {

using std::chrono::milliseconds;

void warmth::on_listing(std::span<const fleet_state::backend_server> listed,
                        base::time_point read_at) {
    if (has_listing_ && read_at < last_read_at_) {
        return;
    }
    last_read_at_ = read_at;
    for (auto& [id, known] : instances_) {
        known.is_listed = false;
    }
    std::ranges::for_each(
        listed, [this](const auto& server) { on_registration(server); });
    has_listing_ = true;
}

void warmth::on_registration(const fleet_state::backend_server& server) {
    const base::time_point now = clock_.now();
    const auto [entry, inserted] = instances_.try_emplace(server.id);
    instance& known = entry->second;
    const bool is_new = inserted || known.started_at_ms != server.started_at_ms;
    if (is_new) {
        known = {};
        if (has_listing_ || !server.cold_remaining) {
            known.presumed_start = now;
        }
    }
    known.started_at_ms = server.started_at_ms;
    known.service = server.service;
    known.failure_domain = server.failure_domain;
    known.is_listed = true;
    if (!server.cold_remaining) {
        return;
    }
    const milliseconds remaining = *server.cold_remaining;
    if (remaining > milliseconds(0)) {
        // An unchanged value is the registration that was read before, which
        // must not prolong the time.
        if (is_new || remaining != known.last_reported) {
            known.reported_until = now + remaining;
        }
        known.presumed_start.reset();
    } else if (known.last_reported > milliseconds(0)) {
        known.reported_until = now;
    }
    known.last_reported = remaining;
}

void warmth::on_reported(std::string_view id, milliseconds remaining) {
    const auto found = instances_.find(id);
    if (found != instances_.end() && remaining > milliseconds(0)) {
        found->second.reported_until =
            std::max(found->second.reported_until, clock_.now() + remaining);
    }
}

void warmth::on_domain_returned(std::string_view domain) {
    for (auto& [id, known] : instances_) {
        if (known.failure_domain == domain) {
            known.presumed_start = clock_.now();
        }
    }
}

void warmth::remove_missing(
    const std::function<bool(std::string_view)>& is_kept) {
    std::erase_if(instances_, [&](const auto& entry) {
        return !entry.second.is_listed && !is_kept(entry.first);
    });
}

const warmth::instance* warmth::find(std::string_view id,
                                     std::uint64_t started_at_ms) const {
    const auto found = instances_.find(id);
    return found == instances_.end() ||
                   found->second.started_at_ms != started_at_ms
               ? nullptr
               : &found->second;
}

bool warmth::is_cold(std::string_view id, std::uint64_t started_at_ms,
                     base::duration cold_time) const {
    const instance* known = find(id, started_at_ms);
    if (known == nullptr) {
        return true;
    }
    const base::time_point now = clock_.now();
    return now < known->reported_until ||
           (known->presumed_start && now < *known->presumed_start + cold_time);
}

}  // namespace bronzehub::cold_start
