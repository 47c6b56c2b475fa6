#include "evacuation/evacuation_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::evacuation {

using fleet_state::store_version;
using logging::field;

evacuation_monitor::evacuation_monitor(base::clock clock, logging::logger& log,
                                       monitor_hooks hooks)
    : domains_(std::move(clock)), log_(log), hooks_(std::move(hooks)) {}

void evacuation_monitor::on_read(std::optional<store_version> base_version,
                                 std::span<const domain_change> changes,
                                 store_version version) {
    const bool was_known = domains_.is_known();
    const domain_report before = domains_.report();
    set_change change;
    if (base_version) {
        change = domains_.on_changes(*base_version, changes, version);
    } else {
        domain_report read{version, {}, {}};
        std::ranges::transform(changes,
                               std::inserter(read.stored, read.stored.end()),
                               &domain_change::domain);
        change = domains_.on_set(std::move(read));
    }
    const domain_report& after = domains_.report();
    // Hosts that don't know the new era hold back what is taken back in it.
    const bool era_matters =
        after.version.era != before.version.era && !domains_.domains().empty();
    // A host that starts reads what the others know already.
    if (was_known && (!change.is_empty() || era_matters ||
                      after.unconfirmed != before.unconfirmed)) {
        announcements_left_ = announcements;
    }
    apply(change, "store");
}

void evacuation_monitor::on_peer_report(domain_report report) {
    apply(domains_.on_set(std::move(report)), "peer");
}

bool evacuation_monitor::take_announcement() {
    if (announcements_left_ == 0) {
        return false;
    }
    --announcements_left_;
    return true;
}

void evacuation_monitor::apply(const set_change& change,
                               std::string_view source) {
    hooks_.on_report(domains_.report());
    if (change.is_empty()) {
        return;
    }
    const std::size_t moved = hooks_.on_change(domains_.domains(), change);
    const auto& version = domains_.version();
    for (const std::string& domain : change.added) {
        log_.info(
            "failure domain evacuated",
            {field("failure_domain", domain), field("source", source),
             field("store_era", version.era),
             field("store_version", version.version), field("moved", moved)});
    }
    for (const std::string& domain : change.removed) {
        log_.info("failure domain taken back",
                  {field("failure_domain", domain), field("source", source),
                   field("store_era", version.era),
                   field("store_version", version.version)});
    }
}

}  // namespace bronzehub::evacuation
