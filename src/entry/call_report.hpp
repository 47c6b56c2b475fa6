// One line and a few counters for each call.
//
// Lines of calls that went well are sampled; refused and failed calls are
// always explained up to a rate, beyond which they are only counted and the
// number left out is logged. Keys never appear.
#ifndef BRONZEHUB_ENTRY_CALL_REPORT_HPP
#define BRONZEHUB_ENTRY_CALL_REPORT_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"

namespace bronzehub::entry {

enum class call_outcome : std::uint8_t {
    // A backend server's response was passed on whole.
    delivered,
    // 503 with Retry-After: not run.
    refused,
    // 4xx of this host.
    rejected,
    // 502 or 504, or a response that broke off.
    failed,
    // The caller left first.
    abandoned,
};

std::string_view to_string(call_outcome outcome);

struct call_report {
    std::string request_id;
    std::string route;
    std::string organisation;
    std::string service;
    std::string server;
    std::string owner;
    call_outcome outcome = call_outcome::delivered;
    std::string cause;
    int status = 0;
    std::uint32_t attempts = 0;
    // Attempts to go on with a stream at another server.
    std::uint32_t resumptions = 0;
    std::uint64_t events = 0;
    std::uint64_t configuration_version = 0;
    // Negative: not reached.
    std::int64_t configuration_age_ms = -1;
    std::int64_t placed_after_ms = -1;
    std::int64_t first_byte_after_ms = -1;
    std::int64_t total_ms = 0;
    std::int64_t retry_after_ms = -1;
};

struct line_budget {
    double per_second = 0;
    double burst = 0;
};

// Not thread-safe.
class call_reporter {
public:
    // Lines of delivered calls and of all others that a host writes: a few
    // percent of its processor time at its highest load.
    static constexpr line_budget delivered_lines{5, 20};
    static constexpr line_budget other_lines{40, 100};
    // Lines of steps: a part of the above, so that many failed attempts leave
    // room for the lines of the calls that failed.
    static constexpr line_budget step_lines{20, 50};

    call_reporter(logging::logger& log, metrics::registry& figures,
                  base::clock clock);

    void on_call(const call_report& report);
    // A step of a call that is worth a line: a repeat, a resumed stream.
    // `status`: that of the server's answer, 0 when there is none.
    void on_step(const call_report& so_far, std::string_view step,
                 std::string_view cause, int status);
    // An attempt to go on with a stream has ended.
    void on_resumption(const call_report& so_far, std::string_view end);
    // A failure domain is cut off from this host, or reached again, as the end
    // of this call's attempt showed.
    void on_domain(std::string_view domain, bool cut_off,
                   const call_report& shown_by);
    // Logs how many lines were left out since the last time.
    void log_omitted_count();

    std::uint64_t count(call_outcome outcome) const;

private:
    struct bucket {
        line_budget budget;
        double tokens;
        base::time_point refilled;
    };
    static constexpr std::size_t outcomes = 5;

    bool take(bucket& from);

    logging::logger& log_;
    metrics::registry& figures_;
    base::clock clock_;
    bucket delivered_;
    bucket other_;
    bucket steps_;
    std::array<std::uint64_t, outcomes> counts_{};
    std::uint64_t omitted_ = 0;
    metrics::distribution& total_;
    metrics::distribution& first_byte_;
};

}  // namespace bronzehub::entry

#endif
