// What every role of the stand-in shares: the journal of executed calls and
// the injected faults, in front of the role.
#ifndef BRONZEHUB_TESTS_STANDIN_STANDIN_HPP
#define BRONZEHUB_TESTS_STANDIN_STANDIN_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "exchange.hpp"
#include "nlohmann/json.hpp"

namespace bronzehub::standin {

enum class fault_mode {
    none,
    refuse,       // 503, nothing executed.
    slow,         // Executed after `delay`.
    hang,         // Never executed, never answered.
    answer_lost,  // Executed, then the connection is closed.
    stale_hosts,  // The platform role answers with an old host list.
    cut_stream,   // The connection is closed after `after_events` writes.
};

struct fault {
    fault_mode mode = fault_mode::none;
    std::optional<std::uint32_t> remaining;  // Nothing: until replaced.
    std::chrono::milliseconds delay{0};
    std::uint32_t after_events = 1;
    std::string path_prefix;
};

// Routes a request to the control paths (/journal, /faults), through the
// current fault, or to the role.
class standin {
public:
    standin(std::unique_ptr<role> behaviour, after_hook after);

    void handle(const request& call, const response_ptr& out);

private:
    void set_fault(const request& call, const response_ptr& out);
    void send_journal(const request& call, const response_ptr& out) const;
    // The fault that applies to this call; uses up one of its count.
    fault_mode take_fault(const request& call);
    void execute(const request& call, const response_ptr& out);

    std::unique_ptr<role> role_;
    after_hook after_;
    fault fault_;
    std::deque<nlohmann::json> journal_;
    std::uint64_t executed_ = 0;
    std::set<response_ptr> hung_;  // Never answered.
};

}  // namespace bronzehub::standin

#endif
