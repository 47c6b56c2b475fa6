// What each organisation asked of the engines through this host, what it was
// granted, and where the rest was refused.
//
// A fair share is kept by several decisions: the host refuses while it is late,
// the owners of the engines refuse what can't start. The counts tell which of
// them an organisation lost its share to.
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

enum class refusal_point : std::uint8_t {
    // Refused by this host for want of processor time.
    host,
    // Refused by the owners of engines.
    engines,
};

// Costs in the unit of shares.
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
        usage_counts counts;
    };

    explicit share_meter(base::clock clock) : recent_(std::move(clock)) {}

    void on_requested(std::string_view organisation, double cost);
    void on_granted(std::string_view organisation, double cost);
    void on_refused(std::string_view organisation, double cost,
                    refusal_point where);

    // Since the start.
    const counts_by_organisation& totals() const { return totals_; }

    // What was asked and granted of late.
    std::vector<organisation_usage> recent_usage() const {
        return recent_.usage();
    }
    void prune() { recent_.prune(); }

    // The organisations that were refused most since the last call, at most
    // `most` of them, with what they asked and got in that time.
    std::vector<refused_organisation> take_most_refused(std::size_t most);

private:
    usage_counts& of(counts_by_organisation& all,
                     std::string_view organisation);
    void add(std::string_view organisation, double usage_counts::* what,
             double cost);

    counts_by_organisation totals_;
    counts_by_organisation since_last_;
    organisation_rates recent_;
};

}  // namespace bronzehub::overload

#endif
