#include "accounting/usage_merge.hpp"

#include <algorithm>

namespace bronzehub::accounting {

void usage_merge::merge_row(host_state& host, std::uint64_t sequence,
                            const protocol::usage_row& row,
                            const change_hook& changed) {
    usage_change change{
        .key = {.service = base::service_id(row.service),
                .organisation = base::organisation_id(row.organisation)},
        .waiting = std::nullopt};
    const auto [entry, added] = host.rows.try_emplace(change.key);
    row_state& known = entry->second;
    // After a complete report an unknown row is known to have started at
    // zero; before, its total may be old.
    if (added && !host.complete_seen) {
        known.served_total = row.served_total;
    }
    change.served = std::max(0.0, row.served_total - known.served_total);
    known.served_total += change.served;
    if (added || sequence > known.sequence) {
        change.remainder = row.expected_remainder - known.remainder;
        change.waiting = row.waiting;
        change.last_grant = row.last_grant;
        known.remainder = row.expected_remainder;
        known.sequence = sequence;
    }
    changed(change);
}

void usage_merge::drop_missing_rows(host_state& host, std::uint64_t sequence,
                                    const change_hook& changed) {
    for (auto& [key, row] : host.rows) {
        if (row.sequence < sequence && row.remainder != 0) {
            changed({.key = key, .remainder = -row.remainder, .waiting = 0});
            row.remainder = 0;
        }
    }
}

void usage_merge::merge(const protocol::sender& from,
                        const protocol::usage_report& report,
                        const change_hook& changed) {
    host_state& host = hosts_[from.host];
    if (from.incarnation < host.incarnation) {
        return;
    }
    if (from.incarnation > host.incarnation) {
        drop_running(from.host, changed);
        host = {.incarnation = from.incarnation, .rows = {}};
    }
    for (const auto& row : report.rows) {
        merge_row(host, from.sequence, row, changed);
    }
    if (report.complete && from.sequence >= host.sequence) {
        drop_missing_rows(host, from.sequence, changed);
        host.complete_seen = true;
    }
    host.sequence = std::max(host.sequence, from.sequence);
}

void usage_merge::forget_service(base::service_id service) {
    for (auto& [name, host] : hosts_) {
        std::erase_if(host.rows, [service](const auto& entry) {
            return entry.first.service == service;
        });
        host.complete_seen = false;
    }
}

void usage_merge::drop_running(const base::host_id& host,
                               const change_hook& changed) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
        return;
    }
    for (auto& [key, row] : found->second.rows) {
        changed({.key = key, .remainder = -row.remainder, .waiting = 0});
        row.remainder = 0;
    }
}

}  // namespace bronzehub::accounting
