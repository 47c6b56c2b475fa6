#include "accounting/usage_counters.hpp"

namespace bronzehub::accounting {
namespace {

protocol::usage_row to_row(const work_key& key, const usage_state& state) {
    return {.service = key.service.value(),
            .organisation = key.organisation.value(),
            .served_total = state.served_total,
            .running = state.running,
            .expected_remainder = state.expected_remainder,
            .waiting = state.waiting};
}

}  // namespace

const usage_state* usage_counters::find(const work_key& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.now;
}

protocol::usage_report usage_counters::take_report(bool complete) {
    protocol::usage_report report{.complete = complete, .rows = {}};
    for (auto& [key, usage] : entries_) {
        if (complete || usage.now != usage.reported) {
            report.rows.push_back(to_row(key, usage.now));
            usage.reported = usage.now;
        }
    }
    return report;
}

void usage_counters::for_each(
    const std::function<void(const work_key&, usage_state&)>& visit) {
    for (auto& [key, usage] : entries_) {
        visit(key, usage.now);
    }
}

}  // namespace bronzehub::accounting
