#include "leases/lease_keeper.hpp"

namespace bronzehub::leases {

lease_keeper::lease_keeper(base::clock time, std::string name,
                           base::host_id host, std::uint64_t incarnation,
                           hooks outside, lease_timing timing)
    : time_(std::move(time)),
      name_(std::move(name)),
      host_(std::move(host)),
      incarnation_(incarnation),
      outside_(std::move(outside)),
      timing_(timing) {}

std::optional<fencing_token> lease_keeper::valid_token() const {
    if (valid_until_ && time_.now() < *valid_until_) {
        return seen_row_.token;
    }
    return std::nullopt;
}

// A restarted process does not own what its predecessor held.
bool lease_keeper::is_own(const lease_row& row) const {
    return row.holder == host_ && row.incarnation == incarnation_;
}

void lease_keeper::tick() {
    report_changes();
    const base::time_point now = time_.now();
    if (in_flight_ || (next_action_ && now < *next_action_)) {
        return;
    }
    const bool holds = has_seen_ && is_own(seen_row_) && !unsettled_;
    if (holds || (wanted_ && !unsettled_ && may_take_over())) {
        write(next_row());
    } else {
        read();
    }
}

// Tells the owner when the right to act began or ended.
void lease_keeper::report_changes() {
    const std::optional<fencing_token> token = valid_token();
    if (token.has_value() == reported_) {
        return;
    }
    reported_ = token.has_value();
    reported_ ? outside_.acquired(*token) : outside_.lost();
}

bool lease_keeper::may_take_over() const {
    if (!has_seen_) {
        return false;
    }
    if (!seen_version_ || seen_row_.holder.empty()) {
        return true;
    }
    return last_confirmed_ - first_seen_ >= timing_.duration + timing_.margin;
}

// The content that acquires, renews or releases the lease.
lease_row lease_keeper::next_row() const {
    lease_row row = seen_row_;
    if (!is_own(seen_row_)) {
        return {host_, incarnation_, seen_row_.token + 1, 0};
    }
    if (!wanted_) {
        row.holder.clear();
    }
    ++row.renewals;
    return row;
}

void lease_keeper::read() {
    in_flight_ = true;
    const base::time_point sent = time_.now();
    next_action_ = sent + timing_.poll_interval;
    outside_.tables.read(
        lease_table, name_,
        [this, sent](const read_result& result) { on_read(sent, result); });
}

void lease_keeper::on_read(base::time_point sent, const read_result& result) {
    in_flight_ = false;
    if (!result.ok()) {
        return;
    }
    if (!result->has_value()) {
        // The row is never deleted, so that the token only rises; once seen,
        // its absence is a stale read.
        has_seen_ = has_seen_ || !seen_version_;
    } else {
        const auto row = base::read_document<lease_row>((*result)->value);
        if (!row.ok()) {
            return;
        }
        observe(**result, *row, sent);
    }
    settle_attempt();
    if (wanted_ && may_take_over()) {
        next_action_.reset();
    }
    report_changes();
}

void lease_keeper::observe(const platform::row& found, const lease_row& row,
                           base::time_point sent) {
    // A read that shows an older version than one already seen is stale.
    if (seen_version_ && found.version < *seen_version_) {
        return;
    }
    if (!has_seen_ || seen_version_ != found.version) {
        first_seen_ = time_.now();
    }
    has_seen_ = true;
    seen_version_ = found.version;
    seen_row_ = row;
    last_confirmed_ = sent;
    if (!is_own(row)) {
        valid_until_.reset();
    }
}

// Compares the row with the write whose result is not known. A row that does
// not show it yet leaves the lease as it was: a conditional write that arrives
// later only succeeds when nobody else has written.
void lease_keeper::settle_attempt() {
    const std::optional<attempt> tried = std::exchange(unsettled_, {});
    const bool applied = tried && is_own(seen_row_) &&
                         seen_row_.token == tried->row.token &&
                         seen_row_.renewals == tried->row.renewals;
    if (applied) {
        valid_until_ = tried->sent + timing_.duration;
        next_action_ = tried->sent + timing_.renew_interval;
    }
}

void lease_keeper::write(const lease_row& row) {
    in_flight_ = true;
    const base::time_point sent = time_.now();
    next_action_ = sent + timing_.poll_interval;
    // A release ends the right to act before it is sent.
    if (row.holder.empty()) {
        valid_until_.reset();
        report_changes();
    }
    unsettled_ = attempt{row, sent};
    outside_.tables.transact(
        {{lease_table, name_, seen_version_, base::write_document(row)}},
        [this](const write_result& result) { on_written(result); });
}

void lease_keeper::on_written(const write_result& result) {
    in_flight_ = false;
    if (!result.ok()) {
        if (!platform::may_have_been_applied(result.status())) {
            unsettled_.reset();
        }
        return;
    }
    if (!result->applied) {
        // Somebody else wrote, or an earlier write of ours arrived late.
        unsettled_.reset();
        has_seen_ = false;
        next_action_.reset();
        return;
    }
    const lease_row row = unsettled_->row;
    const platform::row written{"", result->versions.front()};
    observe(written, row, unsettled_->sent);
    settle_attempt();
    report_changes();
}

}  // namespace bronzehub::leases
