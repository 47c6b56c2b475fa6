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
#include "overload/service_rates.hpp"

namespace bronzehub::overload {

enum class refusal_point : std::uint8_t {
    // Refused by this host for want of processor time.
    host,
    // Refused by the owners of engines.
    engines,
};

// Costs in the unit of shares.
struct share_counts {
    double asked = 0;
    double granted = 0;
    double refused_by_host = 0;
    double refused_by_engines = 0;

    double refused() const { return refused_by_host + refused_by_engines; }
};

// Not thread-safe.
class share_meter {
public:
    using counts = std::map<std::string, share_counts, std::less<>>;

    struct line {
        std::string organisation;
        share_counts since_last;
    };

    explicit share_meter(base::clock clock) : recent_(std::move(clock)) {}

    void on_asked(std::string_view organisation, double cost);
    void on_granted(std::string_view organisation, double cost);
    void on_refused(std::string_view organisation, double cost,
                    refusal_point where);

    // Since the start.
    const counts& totals() const { return totals_; }

    // What was asked and granted of late.
    std::vector<organisation_share> recent() const { return recent_.sums(); }
    void prune() { recent_.prune(); }

    // The organisations that were refused most since the last call, at most
    // `most` of them, with what they asked and got in that time.
    std::vector<line> take_refused(std::size_t most);

private:
    share_counts& of(counts& all, std::string_view organisation);
    void add(std::string_view organisation, double share_counts::* what,
             double cost);

    counts totals_;
    counts since_last_;
    service_rates recent_;
};

}  // namespace bronzehub::overload

#endif
