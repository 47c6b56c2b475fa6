// Counts the cost of engine requests that each organisation sent through this
// host, the cost that was granted, and who refused the rest.
//
// A request can be refused by this host, if it lacks processor time, or by the
// hosts that own the schedules of the engines. The counts show where the
// requests of an organisation below its fair share were refused.
#ifndef BRONZEHUB_OVERLOAD_SHARE_METER_HPP
#define BRONZEHUB_OVERLOAD_SHARE_METER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "overload/organisation_rates.hpp"

namespace bronzehub::overload {

// Where a request was refused.
enum class refusal_point : std::uint8_t {
    // This host, which lacked processor time.
    host,
    // The hosts that own the schedules of the engines.
    engines,
};

// Cost of requests in weighted tokens: a prompt token counts once, a generated
// token twice.
struct usage_counts {
    double requested = 0;
    double granted = 0;
    double refused_by_host = 0;
    double refused_by_engines = 0;

    double refused() const { return refused_by_host + refused_by_engines; }
};

// Not thread-safe.
class share_meter {
public:
    using counts_by_organisation =
        std::map<std::string, usage_counts, std::less<>>;

    struct refused_organisation {
        std::string organisation;
        // Since the previous call of `take_most_refused`.
        usage_counts counts;
    };

    explicit share_meter(base::clock clock) : recent_(std::move(clock)) {}

    void on_requested(std::string_view organisation, double cost);
    void on_granted(std::string_view organisation, double cost);
    // Takes back a grant whose request did not begin, because its engine could
    // not be reached or rejected it. Another grant or a refusal follows.
    void on_grant_unused(std::string_view organisation, double cost);
    void on_refused(std::string_view organisation, double cost,
                    refusal_point where);
    // Corrects the cost of a granted request that has ended by this difference,
    // in what was requested and in what was granted.
    void on_cost_corrected(std::string_view organisation, double difference);

    // Counts since this process started.
    const counts_by_organisation& totals() const { return totals_; }

    // Decaying sums of the requested and the granted cost.
    std::vector<organisation_usage> recent_usage() const {
        return recent_.usage();
    }
    void prune() { recent_.prune(); }

    // Returns up to `max_count` organisations with refused requests since the
    // previous call, in descending order of refused cost.
    std::vector<refused_organisation> take_most_refused(std::size_t max_count);

private:
    usage_counts& find_or_create(counts_by_organisation& all,
                                 std::string_view organisation);
    // Adds to one field of the total and of the recent counts.
    void add(std::string_view organisation, double usage_counts::* field,
             double cost);

    counts_by_organisation totals_;
    counts_by_organisation since_last_;
    organisation_rates recent_;
};

}  // namespace bronzehub::overload

#endif
