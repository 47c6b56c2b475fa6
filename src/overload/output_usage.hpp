// Learns how many tokens the responses of engines hold, so that organisations
// are charged for what they used and not for what their requests stated.
//
// A request states a maximum of output tokens and sometimes an estimate; both
// are the caller's claims. What a host can count are the events of a stream.
// The tokens of an event depend on the engine and are the same for all
// organisations, so they are learnt from the requests of all of them: two
// organisations whose streams are equally long are charged alike, whatever they
// state. Load pattern: equal work, of which one organisation states a maximum
// far above what it generates.
// The class performs no I/O.
#ifndef BRONZEHUB_OVERLOAD_OUTPUT_USAGE_HPP
#define BRONZEHUB_OVERLOAD_OUTPUT_USAGE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fleet_state/request_description.hpp"

namespace bronzehub::overload {

// A kind of requests whose responses have similar lengths.
struct output_source {
    std::string organisation;
    std::string route;
    auto operator<=>(const output_source&) const = default;
};

// Not thread-safe.
class output_usage {
public:
    // Streams with fewer events do not show the tokens of an event, as the last
    // event may be partly filled.
    static constexpr std::uint64_t min_events = 8;
    // Streams after which the tokens of an event are known well enough.
    static constexpr std::uint32_t min_streams = 20;

    // Expected output tokens of a request: those it states, corrected by what
    // earlier streams of the source used in relation to what they stated.
    double expected_tokens(
        const output_source& source,
        const fleet_state::request_description& request) const;

    // Records a stream of the service that ended after this many events, and
    // whether it was complete. Returns the tokens that it used; empty while the
    // tokens of an event are not known.
    std::optional<double> on_ended(
        const output_source& source, std::string_view service,
        const fleet_state::request_description& request, std::uint64_t events,
        bool complete);

private:
    struct event_size {
        // The median of the callers' estimates per event; 0 without estimates.
        double estimated = 0;
        // The smallest recent maximum per event; 0 without one.
        double limit = 0;
        std::uint32_t streams = 0;
    };

    // Decaying sums over the streams of one source.
    struct token_sums {
        double used = 0;
        double stated = 0;
    };

    static void learn(event_size& size,
                      const fleet_state::request_description& request,
                      std::uint64_t events);

    // By service.
    std::map<std::string, event_size, std::less<>> event_sizes_;
    std::map<output_source, token_sums> sums_;
};

}  // namespace bronzehub::overload

#endif
