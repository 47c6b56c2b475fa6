// Brings engines to their desired state by commands that are issued only
// under a valid lease.
//
// Commands are paced by a token bucket, because loading weights uses the
// rate-limited weight store. An engine that checks fencing tokens rejects a
// command of an earlier holder. For an engine that ignores them:
//   - a new holder first waits until a command that an earlier holder sent
//     before its lease ended must have been finished or given up;
//   - it reads the engine's state back after each command, once more after
//     the same wait, and from then on at a longer interval, and repeats its
//     command when the state is another.
// An earlier holder that was paused between its check and its act can still
// overwrite the state; the next look repairs it.
#ifndef BRONZEHUB_LEASES_COMMAND_ISSUER_HPP
#define BRONZEHUB_LEASES_COMMAND_ISSUER_HPP

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "leases/lease_keeper.hpp"
#include "leases/token_bucket.hpp"

namespace bronzehub::leases {

// The state that an engine is to have, for example its model, version and
// adapters in one text that the engine reports back unchanged.
struct desired_state {
    std::string state;
    double weight_store_units = 0;  // Charged for each command sent.
    bool checks_fencing = false;
};

enum class command_step {
    waiting,    // For the lease, the wait after taking over, or the bucket.
    sending,    // A command is on its way.
    reading,    // The engine is asked for its state.
    confirmed,  // The engine has the state; another look is due.
    done,       // It had the state at the second look, or checks tokens.
};

struct command_timing {
    // Of the lease; see `lease_timing`.
    std::chrono::milliseconds lease_duration{10000};
    // After which a command was executed or given up.
    std::chrono::milliseconds command_timeout{30000};
    std::chrono::milliseconds retry_delay{1000};
    // Between looks at an engine that ignores fencing tokens. 3,500 engines
    // in 5 minutes are 12 reads a second for the holder of the lease.
    std::chrono::milliseconds look_interval{300000};
};

struct command_counters {
    std::uint64_t sent = 0;
    std::uint64_t fenced = 0;    // Rejected for an old token.
    std::uint64_t repaired = 0;  // Another state was found and replaced.
    std::uint64_t failed = 0;
};

// Not thread-safe; belongs to the decision thread. Outlives the answers of its
// hooks. The owner calls `tick` a few times a second.
class command_issuer {
public:
    using done_callback = std::function<void(absl::Status)>;
    using state_callback = std::function<void(absl::StatusOr<std::string>)>;

    struct hooks {
        // Empty unless this daemon may act at this moment.
        std::function<std::optional<fencing_token>()> valid_token;
        // kFailedPrecondition: the engine has seen a higher token; kUnknown:
        // the answer was lost; any other error: the command is not executed.
        std::function<void(base::backend_server_id, fencing_token,
                           const std::string& state, done_callback)>
            send;
        std::function<void(base::backend_server_id, state_callback)> read_back;
    };

    command_issuer(base::clock time, token_bucket bucket, hooks outside,
                   command_timing timing);

    // Replaces what the engine is to have.
    void set_desired(base::backend_server_id server, desired_state desired);
    void forget(base::backend_server_id server);

    void tick();

    std::optional<command_step> step_of(base::backend_server_id server) const;
    const command_counters& counters() const { return counters_; }

private:
    struct engine {
        desired_state desired;
        command_step step = command_step::waiting;
        // Raised by every change of the desired state and every new lease, so
        // that an answer to an earlier command is recognised.
        std::uint64_t generation = 0;
        std::optional<base::time_point> not_before;
        // A command sent earlier may be executed until then.
        std::optional<base::time_point> busy_until;
        bool state_known = false;  // The engine was read under this lease.
        bool looked_again = false;
    };

    void follow_lease();
    void advance(base::backend_server_id server, engine& item);
    bool is_due(const engine& item) const;
    bool has_waited(const engine& item) const;
    std::chrono::milliseconds settling_time() const;
    void send(base::backend_server_id server, engine& item);
    void on_sent(base::backend_server_id server, std::uint64_t generation,
                 const absl::Status& status);
    void read_back(base::backend_server_id server, engine& item);
    void on_read(base::backend_server_id server, std::uint64_t generation,
                 const absl::StatusOr<std::string>& state);
    void on_state_matches(engine& item);
    void retry(engine& item);
    engine* current(base::backend_server_id server, std::uint64_t generation);

    base::clock time_;
    token_bucket bucket_;
    hooks outside_;
    command_timing timing_;
    std::map<base::backend_server_id, engine> engines_;
    std::optional<fencing_token> token_;
    base::time_point token_since_;
    std::uint64_t next_generation_ = 1;
    command_counters counters_;
};

}  // namespace bronzehub::leases

#endif
