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

call_reporter::call_reporter(logging::logger& log, metrics::registry& figures,
                             base::clock clock)
    : log_(log),
      figures_(figures),
      clock_(std::move(clock)),
      delivered_{delivered_lines, delivered_lines.burst, clock_.now()},
      other_{other_lines, other_lines.burst, clock_.now()},
      steps_{step_lines, step_lines.burst, clock_.now()},
      total_(figures.add_distribution(
          "bronzehub_entry_call_seconds",
          "Time from a request's arrival to the end of its response.")),
      first_byte_(figures.add_distribution(
          "bronzehub_entry_first_byte_seconds",
          "Time from a request's arrival to the first byte of its "
          "response.")) {}

bool call_reporter::take(bucket& from) {
    const base::time_point now = clock_.now();
    const std::chrono::duration<double> passed = now - from.refilled;
    from.refilled = now;
    from.tokens =
        std::min(from.budget.burst,
                 from.tokens + passed.count() * from.budget.per_second);
    if (from.tokens < 1) {
        ++omitted_;
        return false;
    }
    from.tokens -= 1;
    return true;
}

void call_reporter::on_call(const call_report& report) {
    ++counts_.at(static_cast<std::size_t>(report.outcome));
    figures_
        .add_counter("bronzehub_entry_calls_total",
                     "Calls by service, outcome and cause.",
                     {{"service", report.service},
                      {"outcome", std::string(to_string(report.outcome))},
                      {"cause", report.cause}})
        .increment();
    total_.record(static_cast<double>(report.total_ms) / ms_per_second);
    if (report.first_byte_after_ms >= 0) {
        first_byte_.record(static_cast<double>(report.first_byte_after_ms) /
                           ms_per_second);
    }
    const bool good = report.outcome == call_outcome::delivered;
    // A resumed stream is rare, and a wrong one must be found by its id.
    if (!take(good && report.resumptions == 0 ? delivered_ : other_)) {
        return;
    }
    log_.write(
        good ? logging::level::info : logging::level::warning, "call ended",
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

void call_reporter::on_step(const call_report& so_far, std::string_view step,
                            std::string_view cause, int status) {
    if (!take(steps_)) {
        return;
    }
    log_.info(
        step,
        {field("request_id", so_far.request_id), field("cause", cause),
         field("status", status), field("server", so_far.server),
         field("attempts", so_far.attempts), field("events", so_far.events)});
}

void call_reporter::on_resumption(const call_report& so_far,
                                  std::string_view end) {
    figures_
        .add_counter("bronzehub_entry_resumptions_total",
                     "Attempts to go on with a stream, by service and end.",
                     {{"service", so_far.service}, {"end", std::string(end)}})
        .increment();
}

void call_reporter::on_domain(std::string_view domain, bool cut_off,
                              const call_report& shown_by) {
    log_.warning(
        cut_off ? "failure domain cut off" : "failure domain reached again",
        {field("failure_domain", domain),
         field("request_id", shown_by.request_id),
         field("server", shown_by.server)});
}

void call_reporter::log_omitted_count() {
    if (omitted_ > 0) {
        log_.info("lines left out",
                  {field("count", std::exchange(omitted_, 0))});
    }
}

std::uint64_t call_reporter::count(call_outcome outcome) const {
    return counts_.at(static_cast<std::size_t>(outcome));
}

}  // namespace bronzehub::entry
