#include "entry/call_report.hpp"

#include <algorithm>
#include <utility>

namespace bronzehub::entry {
namespace {

using logging::field;

constexpr double ms_per_second = 1000;

}  // namespace

std::string_view to_string(call_outcome outcome) {
    constexpr std::array<std::string_view, 5> names{
        "delivered", "refused", "rejected", "failed", "abandoned"};
    return names.at(static_cast<std::size_t>(outcome));
}

call_reporter::call_reporter(logging::logger& log, metrics::registry& registry,
                             base::clock clock)
    : log_(log),
      registry_(registry),
      clock_(std::move(clock)),
      delivered_{delivered_limit, delivered_limit.burst, clock_.now()},
      other_{other_limit, other_limit.burst, clock_.now()},
      attempts_{attempt_limit, attempt_limit.burst, clock_.now()},
      call_seconds_(registry.add_distribution(
          "bronzehub_entry_call_seconds",
          "Time from a request's arrival to the end of its response.")),
      first_byte_seconds_(registry.add_distribution(
          "bronzehub_entry_first_byte_seconds",
          "Time from a request's arrival to the first byte of its "
          "response.")) {}

bool call_reporter::try_take(token_bucket& bucket) {
    const base::time_point now = clock_.now();
    const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
    bucket.refilled_at = now;
    bucket.tokens = std::min(
        bucket.limit.burst,
        bucket.tokens + elapsed.count() * bucket.limit.lines_per_second);
    if (bucket.tokens < 1) {
        ++omitted_count_;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void call_reporter::on_call(const call_report& report) {
    ++counts_.at(static_cast<std::size_t>(report.outcome));
    registry_
        .add_counter("bronzehub_entry_calls_total",
                     "Calls by service, outcome and cause.",
                     {{"service", report.service},
                      {"outcome", std::string(to_string(report.outcome))},
                      {"cause", report.cause}})
        .increment();
    call_seconds_.record(static_cast<double>(report.total_ms) / ms_per_second);
    if (report.first_byte_after_ms >= 0) {
        first_byte_seconds_.record(
            static_cast<double>(report.first_byte_after_ms) / ms_per_second);
    }
    const bool delivered = report.outcome == call_outcome::delivered;
    // Resumed streams are rare, and an error in one must be traceable by its
    // request id, so they have the higher limit.
    if (!try_take(delivered && report.resumptions == 0 ? delivered_ : other_)) {
        return;
    }
    log_.write(
        delivered ? logging::level::info : logging::level::warning,
        "call ended",
        {field("request_id", report.request_id),
         field("outcome", to_string(report.outcome)),
         field("cause", report.cause), field("status", report.status),
         field("route", report.route),
         field("organisation", report.organisation),
         field("service", report.service), field("server", report.server),
         field("owner", report.owner), field("attempts", report.attempts),
         field("resumptions", report.resumptions),
         field("events", report.events),
         field("configuration", report.configuration_version),
         field("configuration_age_ms", report.configuration_age_ms),
         field("placed_after_ms", report.placed_after_ms),
         field("first_byte_after_ms", report.first_byte_after_ms),
         field("retry_after_ms", report.retry_after_ms),
         field("total_ms", report.total_ms)});
}

void call_reporter::on_unusable_attempt(const call_report& report,
                                        std::string_view event,
                                        std::string_view cause, int status) {
    if (!try_take(attempts_)) {
        return;
    }
    log_.info(
        event,
        {field("request_id", report.request_id), field("cause", cause),
         field("status", status), field("server", report.server),
         field("attempts", report.attempts), field("events", report.events),
         field("attempt_events", report.attempt_events),
         field("segments", report.segments)});
}

void call_reporter::on_server_ended(const call_report& report) {
    registry_
        .add_counter("bronzehub_entry_attempts_server_ended_total",
                     "Attempts that broke off because their backend server "
                     "ended, by service and whether an event had arrived.",
                     {{"service", report.service},
                      {"event", report.attempt_events > 0 ? "yes" : "no"}})
        .increment();
    if (try_take(attempts_)) {
        log_.info("backend server ended",
                  {field("request_id", report.request_id),
                   field("server", report.server),
                   field("attempt_events", report.attempt_events),
                   field("segments", report.segments)});
    }
}

void call_reporter::on_resumption(const call_report& report,
                                  std::string_view outcome) {
    registry_
        .add_counter(
            "bronzehub_entry_resumptions_total",
            "Attempts to resume a stream on another server, by service and "
            "end.",
            {{"service", report.service}, {"end", std::string(outcome)}})
        .increment();
}

void call_reporter::on_second_attempt(const call_report& report,
                                      std::string_view end) {
    registry_
        .add_counter("bronzehub_entry_second_attempts_total",
                     "Second attempts at requests whose response was late, and "
                     "those that were not sent, by service and end.",
                     {{"service", report.service}, {"end", std::string(end)}})
        .increment();
}

void call_reporter::on_reachability_change(std::string_view domain,
                                           bool unreachable,
                                           const call_report& report) {
    log_.warning(
        unreachable ? "failure domain cut off" : "failure domain reached again",
        {field("failure_domain", domain),
         field("request_id", report.request_id),
         field("server", report.server)});
}

void call_reporter::on_pause_requested(const call_report& report,
                                       base::duration length) {
    registry_
        .add_counter("bronzehub_entry_pauses_requested_total",
                     "Rejections in which a backend server asked for a pause, "
                     "by service.",
                     {{"service", report.service}})
        .increment();
    if (try_take(attempts_)) {
        log_.info("backend server paused",
                  {field("request_id", report.request_id),
                   field("server", report.server), field("pause_ms", length)});
    }
}

void call_reporter::log_omitted_count() {
    if (omitted_count_ > 0) {
        log_.info("lines left out",
                  {field("count", std::exchange(omitted_count_, 0))});
    }
}

std::uint64_t call_reporter::count(call_outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
}

}  // namespace bronzehub::entry
