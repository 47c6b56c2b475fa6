#include "planning/planner.hpp"

#include <algorithm>

namespace bronzehub::planning {
namespace {

using configuration::configuration_change;
using configuration::fleet_configuration;
using configuration::operator_role;

absl::Status require_role(const configuration::operator_account& account,
                          operator_role role) {
    if (has_role(account, role)) {
        return absl::OkStatus();
    }
    return absl::PermissionDeniedError("operator " + account.name +
                                       " lacks the role " +
                                       std::string(base::enum_name(role)));
}

absl::Status not_open(const plan& value) {
    return absl::FailedPreconditionError(
        "plan " + value.id + " is " +
        std::string(base::enum_name(value.state)));
}

std::string describe_change(const std::string& text) {
    const absl::StatusOr<configuration_change> change =
        configuration::read_change(text);
    if (!change.ok()) {
        return "an unreadable change";
    }
    return "version " + std::to_string(change->version) + " (plan " +
           change->plan + "): " + describe(change->items);
}

// Whether a change row was written by the confirmation of this plan.
bool changes_plan(const std::string& text, const std::string& plan_id) {
    const absl::StatusOr<configuration_change> change =
        configuration::read_change(text);
    return change.ok() && change->plan == plan_id;
}

std::string describe_moved(const plan& value, std::uint64_t head_version,
                           const std::vector<std::string>& changes) {
    std::string text = "plan " + value.id + " was made for version " +
                       std::to_string(value.base_version) + ", but version " +
                       std::to_string(head_version) + " is in force";
    for (const std::string& change : changes) {
        text += "; " + describe_change(change);
    }
    return text;
}

}  // namespace

struct planner::confirm_job {
    std::string plan_id;
    std::string operator_name;
    confirm_callback done;
    plan content{};
    std::uint64_t plan_row_version = 0;
    stored_head head{};
    fleet_configuration result{};
    std::string change_text{};
    unsigned attempts = 0;
    // A commit was sent and its answer was lost.
    bool may_be_applied = false;
};

planner::planner(base::clock time, base::timer_queue& timers, hooks outside,
                 planner_limits limits)
    : time_(std::move(time)),
      timers_(timers),
      outside_(std::move(outside)),
      limits_(limits),
      store_(outside_.tables, outside_.objects) {}

fleet_configuration planner::base_configuration() const {
    const configuration::snapshot_pointer current = outside_.current();
    return current == nullptr ? fleet_configuration{} : current->value();
}

void planner::load_plan(const std::string& id, stored_callback done) const {
    outside_.tables.read(
        plan_table, id,
        [id, done = std::move(done)](
            const absl::StatusOr<std::optional<platform::row>>& row) {
            if (!row.ok()) {
                done(row.status());
                return;
            }
            if (!row->has_value()) {
                done(absl::NotFoundError("plan " + id + " does not exist"));
                return;
            }
            absl::StatusOr<plan> content = read_plan((*row)->value);
            if (!content.ok()) {
                done(content.status());
                return;
            }
            done(stored_plan{*std::move(content), (*row)->version});
        });
}

void planner::load_head(head_callback done) const {
    outside_.tables.read(
        configuration_table, head_key,
        [done = std::move(done)](
            const absl::StatusOr<std::optional<platform::row>>& row) {
            if (!row.ok()) {
                done(row.status());
                return;
            }
            if (!row->has_value()) {
                done(stored_head{});
                return;
            }
            const absl::StatusOr<configuration_head> head =
                read_head((*row)->value);
            if (!head.ok()) {
                done(head.status());
                return;
            }
            done(stored_head{*head, (*row)->version});
        });
}

void planner::propose(const operator_account& by, std::string_view intent_text,
                      plan_callback done) {
    if (absl::Status status = require_role(by, operator_role::plan);
        !status.ok()) {
        done(status);
        return;
    }
    const fleet_configuration base = base_configuration();
    const absl::StatusOr<intent> wanted = read_intent(intent_text, base);
    if (!wanted.ok()) {
        done(wanted.status());
        return;
    }
    absl::StatusOr<plan> made =
        make_plan(outside_.new_plan_id(), by.name, *wanted, base);
    if (!made.ok()) {
        done(made.status());
        return;
    }
    store_proposed(*std::move(made), std::move(done));
}

void planner::store_proposed(plan made, plan_callback done) {
    platform::conditional_write write{plan_table, made.id, std::nullopt,
                                      write_plan(made)};
    outside_.tables.transact(
        {std::move(write)},
        [this, made = std::move(made),
         done = std::move(done)](const write_result& result) {
            if (result.ok() && result->applied) {
                done(made);
            } else if (result.ok()) {
                done(absl::FailedPreconditionError("plan " + made.id +
                                                   " exists already"));
            } else if (platform::may_have_been_applied(result.status())) {
                on_proposal_lost(made, done);
            } else {
                done(result.status());
            }
        });
}

// A stored plan changes nothing, so it is enough to know whether it exists.
void planner::on_proposal_lost(const plan& made, const plan_callback& done) {
    load_plan(made.id, [done](const absl::StatusOr<stored_plan>& stored) {
        if (stored.ok()) {
            done(stored->content);
        } else {
            done(
                absl::UnavailableError("the plan could not be stored: " +
                                       std::string(stored.status().message())));
        }
    });
}

void planner::get(const operator_account& by, const std::string& plan_id,
                  plan_callback done) const {
    if (absl::Status status = require_role(by, operator_role::read);
        !status.ok()) {
        done(status);
        return;
    }
    load_plan(plan_id, [done = std::move(done)](
                           const absl::StatusOr<stored_plan>& stored) {
        stored.ok() ? done(stored->content) : done(stored.status());
    });
}

void planner::drop(const operator_account& by, const std::string& plan_id,
                   plan_callback done) {
    if (absl::Status status = require_role(by, operator_role::plan);
        !status.ok()) {
        done(status);
        return;
    }
    load_plan(plan_id, [this, done = std::move(done)](
                           const absl::StatusOr<stored_plan>& stored) {
        if (!stored.ok()) {
            done(stored.status());
        } else if (stored->content.state == plan_state::confirmed) {
            done(not_open(stored->content));
        } else if (stored->content.state == plan_state::dropped) {
            done(stored->content);
        } else {
            write_dropped(*stored, done);
        }
    });
}

void planner::write_dropped(stored_plan stored, plan_callback done) {
    stored.content.state = plan_state::dropped;
    platform::conditional_write write{plan_table, stored.content.id,
                                      stored.row_version,
                                      write_plan(stored.content)};
    outside_.tables.transact(
        {std::move(write)},
        [dropped = std::move(stored.content),
         done = std::move(done)](const write_result& result) {
            if (!result.ok()) {
                done(result.status());
            } else if (!result->applied) {
                done(absl::AbortedError("plan " + dropped.id +
                                        " was changed by another request"));
            } else {
                done(dropped);
            }
        });
}

void planner::confirm(const operator_account& by, const std::string& plan_id,
                      confirm_callback done) {
    if (absl::Status status = require_role(by, operator_role::confirm);
        !status.ok()) {
        done(status);
        return;
    }
    start(std::make_shared<confirm_job>(
        confirm_job{plan_id, by.name, std::move(done)}));
}

// Step 1: the plan's state.
void planner::start(const job_pointer& job) {
    load_plan(job->plan_id,
              [this, job](const absl::StatusOr<stored_plan>& stored) {
                  if (!stored.ok()) {
                      job->done(stored.status());
                      return;
                  }
                  job->content = stored->content;
                  job->plan_row_version = stored->row_version;
                  if (job->content.state == plan_state::confirmed) {
                      finish_applied(job, true);
                  } else if (job->content.state == plan_state::dropped) {
                      job->done(not_open(job->content));
                  } else {
                      head_error(job);
                  }
              });
}

// Step 2: the head must be the plan's base.
void planner::head_error(const job_pointer& job) {
    load_head([this, job](const absl::StatusOr<stored_head>& head) {
        if (!head.ok()) {
            job->done(head.status());
            return;
        }
        job->head = *head;
        if (head->content.version != job->content.base_version) {
            explain_moved(job, head->content.version);
        } else {
            prepare(job);
        }
    });
}

// Step 3: the configuration after the change, checked here once more.
void planner::prepare(const job_pointer& job) {
    const fleet_configuration base = base_configuration();
    if (base.version != job->content.base_version) {
        job->done(absl::UnavailableError(
            "this daemon has version " + std::to_string(base.version) +
            " in force, not the plan's base " +
            std::to_string(job->content.base_version)));
        return;
    }
    const configuration_change change{base.version + 1, job->plan_id,
                                      job->content.items};
    absl::StatusOr<fleet_configuration> result =
        configuration::apply(base, change);
    if (!result.ok()) {
        job->done(result.status());
        return;
    }
    job->result = *std::move(result);
    job->change_text = configuration::write_change(change);
    commit(job);
}

std::vector<platform::conditional_write> planner::commit_writes(
    const confirm_job& job) const {
    const std::uint64_t version = job.result.version;
    plan confirmed = job.content;
    confirmed.state = plan_state::confirmed;
    confirmed.confirmed_version = version;
    const configuration_head head{
        version,
        std::max(job.head.content.snapshot_version, written_snapshot_)};
    const audit_entry audit{version,
                            job.plan_id,
                            job.content.author,
                            job.operator_name,
                            job.content.reason,
                            describe(job.content.items),
                            outside_.wall_time()};
    return {
        {configuration_table, head_key, job.head.row_version, write_head(head)},
        {configuration_table, change_key(version), std::nullopt,
         job.change_text},
        {audit_table, padded(version), std::nullopt,
         base::write_document(audit)},
        {plan_table, job.plan_id, job.plan_row_version, write_plan(confirmed)}};
}

// Step 4: all or nothing.
void planner::commit(const job_pointer& job) {
    outside_.tables.transact(
        commit_writes(*job),
        [this, job](const write_result& result) { on_committed(job, result); });
}

void planner::on_committed(const job_pointer& job, const write_result& result) {
    if (result.ok() && result->applied) {
        job->content.confirmed_version = job->result.version;
        finish_applied(job, false);
        return;
    }
    if (!result.ok() && !platform::may_have_been_applied(result.status()) &&
        !job->may_be_applied) {
        job->done(result.status());
        return;
    }
    job->may_be_applied = job->may_be_applied || !result.ok();
    settle(job);
}

// Step 5: after a conflict or a lost answer, the plan's state tells.
void planner::settle(const job_pointer& job) {
    load_plan(job->plan_id,
              [this, job](const absl::StatusOr<stored_plan>& stored) {
                  if (!stored.ok()) {
                      settle_later(job);
                      return;
                  }
                  job->content = stored->content;
                  job->plan_row_version = stored->row_version;
                  if (job->content.state == plan_state::confirmed) {
                      finish_applied(job, !job->may_be_applied);
                  } else if (job->content.state == plan_state::dropped) {
                      job->done(not_open(job->content));
                  } else {
                      settle_later(job);
                  }
              });
}

// A write whose answer was lost may still arrive. Sending the same
// transaction again is safe: whichever arrives second meets a conflict.
void planner::settle_later(const job_pointer& job) {
    if (++job->attempts >= limits_.settle_attempts) {
        job->done(absl::UnknownError(
            "plan " + job->plan_id +
            " may have been confirmed; read its state later"));
        return;
    }
    timers_.schedule(time_.now() + limits_.settle_delay, [this, job] {
        load_head([this, job](const absl::StatusOr<stored_head>& head) {
            const std::uint64_t base = job->content.base_version;
            if (head.ok() && head->content.version == base) {
                job->head = *head;
                commit(job);
            } else if (head.ok() && head->content.version > base) {
                start(job);
            } else {
                settle(job);
            }
        });
    });
}

void planner::finish_applied(const job_pointer& job, bool repeated) {
    const std::uint64_t version = job->content.confirmed_version.value_or(0);
    if (version == job->result.version && version != 0) {
        outside_.confirmed(
            {version - 1, version, {job->change_text}, "", version});
        write_snapshot_if_due(job);
    }
    job->done(confirmation{version, repeated});
}

void planner::explain_moved(const job_pointer& job,
                            std::uint64_t head_version) {
    if (head_version < job->content.base_version) {
        job->done(absl::UnavailableError(
            "the platform shows version " + std::to_string(head_version) +
            ", which is older than the plan's base"));
        return;
    }
    store_.fetch(
        job->content.base_version,
        [this, job, head_version](
            const absl::StatusOr<configuration::configuration_update>& update) {
            on_moved(
                job, head_version,
                update.ok() ? update->changes : std::vector<std::string>{});
        });
}

// The plan's row may have been read stale, so the changes since its base tell
// whether it was this plan that moved the head.
void planner::on_moved(const job_pointer& job, std::uint64_t head_version,
                       const std::vector<std::string>& changes) {
    const std::uint64_t next = job->content.base_version + 1;
    if (!changes.empty() && changes_plan(changes.front(), job->plan_id)) {
        job->content.confirmed_version = next;
        finish_applied(job, !job->may_be_applied);
    } else if (changes.empty() && job->may_be_applied) {
        settle_later(job);
    } else if (changes.empty()) {
        job->done(absl::UnavailableError(
            "version " + std::to_string(head_version) +
            " is in force, and what it changed could not be read"));
    } else {
        job->done(absl::AbortedError(
            describe_moved(job->content, head_version, changes)));
    }
}

// Best effort: without a snapshot, a new daemon reads more changes.
void planner::write_snapshot_if_due(const job_pointer& job) {
    const std::uint64_t version = job->result.version;
    const std::uint64_t last =
        std::max(job->head.content.snapshot_version, written_snapshot_);
    if (version - last < limits_.changes_per_snapshot) {
        return;
    }
    outside_.objects.create(
        snapshot_key(version), configuration::write_configuration(job->result),
        [this, version](const absl::StatusOr<bool>& result) {
            if (result.ok() || absl::IsAborted(result.status())) {
                written_snapshot_ = std::max(written_snapshot_, version);
            }
        });
}

}  // namespace bronzehub::planning
