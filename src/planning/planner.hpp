// Stores plans and confirms them, each at most once.
//
// A plan is confirmed by one transaction that is conditional on the head that
// the plan was made for: change row, head, audit row and the plan's state are
// written together or not at all. Of two operators who race, one wins and the
// other receives the difference. A lost answer is settled by reading the plan
// again: its state tells whether the transaction was applied.
#ifndef BRONZEHUB_PLANNING_PLANNER_HPP
#define BRONZEHUB_PLANNING_PLANNER_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.hpp"
#include "base/timer_queue.hpp"
#include "planning/configuration_store.hpp"
#include "planning/plan.hpp"

namespace bronzehub::planning {

inline constexpr const char* plan_table = "plan";
inline constexpr const char* audit_table = "audit";

struct confirmation {
    std::uint64_t version = 0;
    // The plan was confirmed by an earlier request.
    bool repeated = false;
};

// One line of the audit trail.
struct audit_entry {
    std::uint64_t version = 0;
    std::string plan;
    std::string author;
    std::string confirmed_by;
    std::string reason;
    std::string changes;
    std::string time;  // Wall clock of the confirming daemon, for readers.
};

struct planner_limits {
    // A lost answer is settled within attempts * delay, or reported.
    unsigned settle_attempts = 10;
    std::chrono::milliseconds settle_delay{500};
    // A snapshot object is written after this many changes.
    std::uint64_t changes_per_snapshot = 200;
};

// Status codes of every operation:
//   kPermissionDenied   the operator lacks the role
//   kInvalidArgument    the intent is invalid; every fault is named
//   kNotFound           no such plan, or a change names no such object
//   kAborted            the base of the plan moved; names the difference
//   kFailedPrecondition the plan was dropped or confirmed already
//   kUnavailable        nothing was changed; try again
//   kUnknown            could not be settled; ask for the plan's state later
//
// Not thread-safe; belongs to the decision thread. Outlives the answers of its
// hooks and the timers that it schedules.
class planner {
public:
    using operator_account = configuration::operator_account;
    using plan_callback = std::function<void(absl::StatusOr<plan>)>;
    using confirm_callback = std::function<void(absl::StatusOr<confirmation>)>;

    struct hooks {
        platform::table_service tables;
        platform::object_store objects;
        // The configuration in force here; null before the first version.
        std::function<configuration::snapshot_pointer()> current;
        // Brings a confirmed change into force; called at most once per
        // change, when the platform is known to hold it.
        std::function<void(const configuration::configuration_update&)>
            confirmed;
        // Unique in the fleet, for example host, incarnation and a counter.
        std::function<std::string()> new_plan_id;
        std::function<std::string()> wall_time;
    };

    planner(base::clock time, base::timer_queue& timers, hooks outside,
            planner_limits limits);

    // Makes and stores a plan. Needs the role plan.
    void propose(const operator_account& by, std::string_view intent_text,
                 plan_callback done);

    // Puts a plan into force. Needs the role confirm. Repeating it is safe.
    void confirm(const operator_account& by, const std::string& plan_id,
                 confirm_callback done);

    // Marks a plan so that it cannot be confirmed. Needs the role plan.
    void drop(const operator_account& by, const std::string& plan_id,
              plan_callback done);

    // Needs the role read.
    void get(const operator_account& by, const std::string& plan_id,
             plan_callback done) const;

private:
    struct stored_plan {
        plan content;
        std::uint64_t row_version = 0;
    };
    struct stored_head {
        configuration_head content;
        std::optional<std::uint64_t> row_version;
    };
    // One confirmation on its way through the steps below.
    struct confirm_job;
    using job_pointer = std::shared_ptr<confirm_job>;
    using stored_callback = std::function<void(absl::StatusOr<stored_plan>)>;
    using head_callback = std::function<void(absl::StatusOr<stored_head>)>;
    using write_result = absl::StatusOr<platform::transaction_result>;

    void load_plan(const std::string& id, stored_callback done) const;
    void load_head(head_callback done) const;
    void store_proposed(plan made, plan_callback done);
    void on_proposal_lost(const plan& made, const plan_callback& done);
    void write_dropped(stored_plan stored, plan_callback done);

    // Steps of a confirmation.
    void start(const job_pointer& job);
    void head_error(const job_pointer& job);
    void prepare(const job_pointer& job);
    void commit(const job_pointer& job);
    void on_committed(const job_pointer& job, const write_result& result);
    void settle(const job_pointer& job);
    void settle_later(const job_pointer& job);
    void finish_applied(const job_pointer& job, bool repeated);
    void explain_moved(const job_pointer& job, std::uint64_t head_version);
    void on_moved(const job_pointer& job, std::uint64_t head_version,
                  const std::vector<std::string>& changes);
    void write_snapshot_if_due(const job_pointer& job);
    configuration::fleet_configuration base_configuration() const;
    std::vector<platform::conditional_write> commit_writes(
        const confirm_job& job) const;

    base::clock time_;
    base::timer_queue& timers_;
    hooks outside_;
    planner_limits limits_;
    configuration_store store_;
    std::uint64_t written_snapshot_ = 0;
};

}  // namespace bronzehub::planning

namespace bronzehub::base {

template <>
struct json_schema<planning::audit_entry> {
    static void fields(auto& form, auto& value) {
        form.required("version", value.version);
        form.required("plan", value.plan);
        form.required("author", value.author);
        form.required("confirmed_by", value.confirmed_by);
        form.required("reason", value.reason);
        form.required("changes", value.changes);
        form.required("time", value.time);
    }
};

}  // namespace bronzehub::base

#endif
