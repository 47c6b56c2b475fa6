// Member functions of `call` that keep requests away from engines that their
// prompt segments would end.
#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "entry/call.hpp"
#include "entry/refusal.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {
namespace {

// Segments beyond this number are left out of the log.
constexpr std::size_t max_logged_segments = 8;

std::string format_segments(
    std::span<const fleet_state::prompt_segment> segments) {
    return absl::StrJoin(
        segments.first(std::min(segments.size(), max_logged_segments)), ",",
        [](std::string* text, const fleet_state::prompt_segment& segment) {
            absl::StrAppend(text, absl::Hex(segment.id));
        });
}

}  // namespace

bool call::check_segments() {
    if (!is_engine_request()) {
        return true;
    }
    if (shared_segments_.empty()) {
        std::ranges::transform(overload::shared_segments(description_.prompt),
                               std::back_inserter(shared_segments_),
                               [](const fleet_state::prompt_segment& segment) {
                                   return segment.id;
                               });
        if (shared_segments_.empty()) {
            return true;
        }
    }
    auto& quarantine = environment_.quarantine;
    if (!quarantine.is_complete()) {
        refuse("quarantined segments not known", no_server_retry_after);
        return false;
    }
    if (quarantine.quarantined_for(shared_segments_) > base::duration(0)) {
        refuse_quarantined();
        return false;
    }
    if (trial_granted_ || !quarantine.needs_clearance(shared_segments_)) {
        return true;
    }
    // A slot would be unused while the request waits.
    release_slot();
    take_back_grant();
    trial_ = quarantine.next_trial_number();
    quarantine.wait_for_clearance(
        *trial_, shared_segments_, start_deadline(),
        [weak = weak_from_this()](segment_clearance clearance) {
            const auto self = weak.lock();
            if (self && !self->ended_) {
                self->on_segment_clearance(clearance);
            }
        });
    return false;
}

void call::on_segment_clearance(segment_clearance clearance) {
    switch (clearance) {
        case segment_clearance::unrestricted:
            trial_.reset();
            search_engine();
            return;
        case segment_clearance::trial:
            trial_granted_ = true;
            search_engine();
            return;
        case segment_clearance::quarantined:
            trial_.reset();
            refuse_quarantined();
            return;
        case segment_clearance::timed_out:
            trial_.reset();
            refuse("prompt segment under trial", no_server_retry_after);
            return;
    }
}

void call::refuse_quarantined() {
    refuse("prompt segment quarantined",
           retry_after_at_least(
               environment_.quarantine.quarantined_for(shared_segments_)));
}

void call::clear_segments() {
    if (!shared_segments_.empty()) {
        environment_.quarantine.on_first_event(shared_segments_);
    }
    end_trial();
}

void call::end_trial() {
    trial_granted_ = false;
    if (const auto trial = std::exchange(trial_, std::nullopt)) {
        environment_.quarantine.end_trial(*trial);
    }
}

void call::check_liveness() {
    if (!is_engine_request()) {
        return;
    }
    report_.segments =
        format_segments(overload::shared_segments(description_.prompt));
    overload::engine_crash crash{
        instance_name(attempt_->server),
        {},
        attempt_->sent_at,
        environment_.failure_domain,
        attempt_->server.failure_domain == environment_.failure_domain};
    if (!attempt_->has_event) {
        crash.segments = shared_segments_;
    }
    // A trial ends when the crash has been reported, so that the next one does
    // not begin before.
    const auto trial = std::exchange(trial_, std::nullopt);
    environment_.liveness.check(
        attempt_->server, [&quarantine = environment_.quarantine,
                           &reporter = environment_.reporter, report = report_,
                           trial, crash = std::move(crash)](bool has_ended) {
            if (has_ended) {
                reporter.on_server_ended(report);
                quarantine.on_crash(crash);
            }
            if (trial) {
                quarantine.end_trial(*trial);
            }
        });
}

}  // namespace bronzehub::entry
