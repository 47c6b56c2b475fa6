// A lease with a fencing token over one row of the platform's table.
//
// Expiry is judged by each observer's monotonic clock from the row's last
// change, because wall clocks of hosts are not trusted. The holder may act
// until the send time of its last successful renewal plus the duration. A
// contender takes over once it has seen the row unchanged for longer, with a
// higher fencing token.
//
// A holder can still be paused between its check and its act. Receivers that
// check the token reject such a command; for the others see
// `command_issuer.hpp`.
#ifndef BRONZEHUB_LEASES_LEASE_KEEPER_HPP
#define BRONZEHUB_LEASES_LEASE_KEEPER_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "base/json_fields.hpp"
#include "base/strong_id.hpp"
#include "platform/platform.hpp"

namespace bronzehub::leases {

inline constexpr const char* lease_table = "lease";

// Rises with every change of the holder.
using fencing_token = std::uint64_t;

struct lease_row {
    base::host_id holder;  // Empty after a release.
    std::uint64_t incarnation = 0;
    fencing_token token = 0;
    std::uint64_t renewals = 0;
};

struct lease_timing {
    std::chrono::milliseconds duration{10000};
    // Covers the drift between two monotonic clocks during one duration.
    std::chrono::milliseconds margin{1000};
    std::chrono::milliseconds renew_interval{3000};
    std::chrono::milliseconds poll_interval{1000};
};

// Not thread-safe; belongs to the decision thread. Outlives the answers of its
// hooks. The owner calls `tick` a few times a second.
class lease_keeper {
public:
    struct hooks {
        platform::table_service tables;
        // Called on each change between holding a valid lease and not.
        std::function<void(fencing_token)> acquired;
        std::function<void()> lost;
    };

    lease_keeper(base::clock time, std::string name, base::host_id host,
                 std::uint64_t incarnation, hooks outside, lease_timing timing);

    // Whether this daemon wants the lease. Without it a held lease is
    // released, so that a contender need not wait.
    void set_wanted(bool wanted) { wanted_ = wanted; }

    void tick();

    // The token when this daemon may act at this moment. Ask before each
    // command; do not keep the answer.
    std::optional<fencing_token> valid_token() const;

private:
    // What an answer belongs to: the content that was written, and when.
    struct attempt {
        lease_row row;
        base::time_point sent;
    };
    using read_result = absl::StatusOr<std::optional<platform::row>>;
    using write_result = absl::StatusOr<platform::transaction_result>;

    bool is_own(const lease_row& row) const;
    bool may_take_over() const;
    void report_changes();
    void read();
    void on_read(base::time_point sent, const read_result& result);
    void observe(const platform::row& found, const lease_row& row,
                 base::time_point sent);
    void settle_attempt();
    void write(const lease_row& row);
    void on_written(const write_result& result);
    lease_row next_row() const;

    base::clock time_;
    std::string name_;
    base::host_id host_;
    std::uint64_t incarnation_;
    hooks outside_;
    lease_timing timing_;
    bool wanted_ = true;

    // The row as last seen; a version of nothing: the row is absent.
    bool has_seen_ = false;
    lease_row seen_row_;
    std::optional<std::uint64_t> seen_version_;
    // When this version was first seen, and the send time of the last read
    // that still showed it.
    base::time_point first_seen_;
    base::time_point last_confirmed_;

    std::optional<base::time_point> valid_until_;
    std::optional<attempt> unsettled_;  // A write without a known result.
    bool in_flight_ = false;
    bool reported_ = false;
    std::optional<base::time_point> next_action_;
};

}  // namespace bronzehub::leases

namespace bronzehub::base {

template <>
struct json_schema<leases::lease_row> {
    static void fields(auto& form, auto& value) {
        form.required("holder", value.holder);
        form.required("incarnation", value.incarnation);
        form.required("token", value.token);
        form.required("renewals", value.renewals);
    }
};

}  // namespace bronzehub::base

#endif
