// Limits the work that second attempts add to a share of all work.
//
// Each request adds its part to the allowance of its service, and each second
// attempt takes its cost from it. A host spends only what its own requests
// added, so the limit holds for the whole fleet without communication, also
// while hosts are cut off or restart.
// Load pattern: many requests become slow at the same time, and each of them
// would be sent a second time.
#ifndef BRONZEHUB_HEDGING_EXTRA_WORK_LIMIT_HPP
#define BRONZEHUB_HEDGING_EXTRA_WORK_LIMIT_HPP

#include <map>
#include <string>
#include <string_view>

namespace bronzehub::hedging {

// Not thread-safe. Work is measured in any unit, the same for all requests of a
// service.
class extra_work_limit {
public:
    // An allowance that is not used grows up to this many of the largest recent
    // requests, so that a quiet hour does not allow a burst.
    static constexpr double max_saved_requests = 4;

    // `share` is the extra work for each unit of work; zero allows none.
    explicit extra_work_limit(double share) : share_(share) {}

    void set_share(double share) { share_ = share; }
    double share() const { return share_; }

    // Records a request of a caller.
    void on_request(std::string_view service, double work);

    // Takes the work of a second attempt from the allowance. Returns false, and
    // takes nothing, if the allowance is smaller.
    bool try_spend(std::string_view service, double work);

private:
    struct allowance {
        double saved = 0;
        // Largest request, slowly forgotten.
        double largest = 0;
    };

    double share_;
    std::map<std::string, allowance, std::less<>> services_;
};

}  // namespace bronzehub::hedging

#endif
