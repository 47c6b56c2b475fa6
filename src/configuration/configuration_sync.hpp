// Keeps one daemon's configuration at the newest version.
//
// Decides when to ask a peer and when to ask the platform, applies what they
// answer, and ignores answers that are stale, repeated, out of order or
// invalid. The version in force only rises. The owner passes on what it hears
// from peers and calls `tick` a few times a second.
//
// Peers come first, so that a change reaches every daemon with few reads of
// the platform; the platform is asked when no peer could help for a second,
// and by the one daemon of a failure domain that polls.
#ifndef BRONZEHUB_CONFIGURATION_CONFIGURATION_SYNC_HPP
#define BRONZEHUB_CONFIGURATION_CONFIGURATION_SYNC_HPP

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "base/clock.hpp"
#include "configuration/change_log.hpp"

namespace bronzehub::configuration {

enum class sync_state {
    starting,     // No configuration yet; sources are still being asked.
    no_source,    // No configuration: every source was asked and none had one.
    empty_fleet,  // The platform answered: nothing was confirmed yet.
    behind,       // A newer version is known to exist.
    level,
};

std::string_view to_string(sync_state state);

// Counts for metrics.
struct sync_counters {
    std::uint64_t adopted = 0;
    std::uint64_t stale = 0;    // Nothing above the version in force.
    std::uint64_t gaps = 0;     // Changes that start above it.
    std::uint64_t invalid = 0;  // Could not be read or applied.
    std::uint64_t failed = 0;   // Sources that did not answer.
};

struct sync_timing {
    // A change reaches all daemons within 3 s: 1 s for peers, then the
    // platform.
    std::chrono::milliseconds platform_delay{1000};
    std::chrono::milliseconds poll_interval{1000};
    std::chrono::milliseconds request_timeout{1000};
    // Before the same peer is asked again.
    std::chrono::milliseconds retry_delay{500};
};

// Not thread-safe; belongs to the decision thread. Answers may arrive after
// their timeout and in any order, but not after destruction.
class configuration_sync {
public:
    using answer = absl::StatusOr<configuration_update>;
    using answer_callback = std::function<void(answer)>;

    struct hooks {
        std::function<void(const base::host_id& peer,
                           std::uint64_t have_version, answer_callback)>
            fetch_from_peer;
        // An update without content says that nothing is newer.
        std::function<void(std::uint64_t have_version, answer_callback)>
            fetch_from_platform;
        // Called once for each version that comes into force, in order.
        std::function<void(snapshot_pointer)> adopted;
    };

    configuration_sync(base::clock time, hooks outside, sync_timing timing);

    // What a notice, a membership update or a request says about a peer.
    void on_peer_version(const base::host_id& peer, std::uint64_t version);
    void on_peer_gone(const base::host_id& peer);

    // An update that a peer sent without being asked, or that this daemon
    // confirmed itself.
    void on_update(const configuration_update& update);

    // Whether this daemon polls the platform for its failure domain.
    void set_polling(bool polling) { polling_ = polling; }

    // Sends the requests that are due.
    void tick();

    sync_state state() const;
    // For the readiness report.
    std::string explain() const;
    std::uint64_t version() const;
    snapshot_pointer current() const { return current_; }
    const change_log& log() const { return log_; }
    const sync_counters& counters() const { return counters_; }

private:
    struct peer_entry {
        std::uint64_t version = 0;
        std::optional<base::time_point> asked;
    };
    // A request that is being waited for. Late answers carry a lower attempt.
    struct request {
        std::uint64_t attempt = 0;
        std::optional<base::time_point> sent;
    };

    bool is_waiting(request& current) const;
    void ask_peer();
    void ask_platform();
    bool platform_is_due() const;
    const base::host_id* choose_peer() const;
    void on_peer_answer(std::uint64_t attempt, const answer& result);
    void on_platform_answer(std::uint64_t attempt, const answer& result);
    void take(const configuration_update& update);
    void take_snapshot(const configuration_update& update);
    void take_changes(const configuration_update& update);
    void adopt(fleet_configuration next, std::span<const std::string> changes);
    void note_behind();
    std::uint64_t target() const;

    base::clock time_;
    hooks outside_;
    sync_timing timing_;
    snapshot_pointer current_;
    change_log log_;
    sync_counters counters_;
    std::map<base::host_id, peer_entry> peers_;
    request peer_request_;
    request platform_request_;
    bool polling_ = false;
    // Highest version that an answer mentioned.
    std::uint64_t newest_heard_ = 0;
    std::optional<base::time_point> behind_since_;
    std::optional<base::time_point> platform_asked_;
    // The last finished request to the platform; empty before the first.
    std::optional<absl::Status> platform_status_;
    bool platform_is_empty_ = false;
};

}  // namespace bronzehub::configuration

#endif
