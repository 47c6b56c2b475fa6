#include "claims/claim_registry.hpp"

#include <algorithm>

namespace bronzehub::claims {

claim_registry::claim_registry(base::clock time, base::timer_queue& timers,
                               base::host_id host, std::uint64_t incarnation,
                               hooks outside, claim_limits limits)
    : time_(std::move(time)),
      timers_(timers),
      host_(std::move(host)),
      incarnation_(incarnation),
      outside_(std::move(outside)),
      limits_(limits) {}

claim_registry::entry* claim_registry::find(claim_id id) {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void claim_registry::erase(claim_id id) {
    const auto found = entries_.find(id);
    response_bytes_ -= found->second.response.body.size();
    by_key_.erase(found->second.row_key);
    entries_.erase(found);
}

void claim_registry::decide(claim_id id, claim_decision decision) {
    const decision_callback callback = std::exchange(find(id)->decide, nullptr);
    if (callback) {
        callback(std::move(decision));
    }
}

void claim_registry::decide_and_erase(claim_id id, claim_decision decision) {
    const decision_callback callback = std::exchange(find(id)->decide, nullptr);
    erase(id);
    if (callback) {
        callback(std::move(decision));
    }
}

// Answers a second claim of a key that this daemon is working on.
claim_decision claim_registry::decide_from_local(const entry& existing,
                                                 const claim_request& request) {
    if (existing.row.body_digest != request.body_digest) {
        return {claim_verdict::mismatch};
    }
    switch (existing.wanted) {
        case goal::record:
            return {claim_verdict::done, existing.response};
        case goal::mark_unknown:
            return {claim_verdict::outcome_unknown};
        case goal::remove:
            return {claim_verdict::unavailable};
        case goal::none:
            break;
    }
    return {claim_verdict::in_progress};
}

claim_id claim_registry::claim(const claim_request& request,
                               decision_callback decide) {
    const claim_id id{next_id_++};
    const std::string key = claim_row_key(request.organisation, request.service,
                                          request.idempotency_key);
    if (const auto existing = by_key_.find(key); existing != by_key_.end()) {
        decide(decide_from_local(*find(existing->second), request));
        return id;
    }
    if (entries_.size() >= limits_.entries) {
        ++counters_.refused_full;
        decide({claim_verdict::unavailable});
        return id;
    }
    entry added;
    added.row_key = key;
    added.row = {host_ + "/" + std::to_string(incarnation_) + "/" +
                     std::to_string(static_cast<std::uint64_t>(id)),
                 host_, incarnation_, request.body_digest};
    added.decide = std::move(decide);
    by_key_.emplace(key, id);
    entries_.emplace(id, std::move(added));
    enqueue(id);
    return id;
}

bool claim_registry::mark_sent(claim_id id) {
    entry* item = find(id);
    if (item == nullptr || item->step != phase::held) {
        return false;
    }
    item->step = phase::sent;
    return true;
}

void claim_registry::mark_not_sent(claim_id id) {
    entry* item = find(id);
    if (item != nullptr && item->step == phase::sent) {
        item->step = phase::held;
    }
}

void claim_registry::finish(claim_id id, recorded_response response) {
    entry* item = find(id);
    if (item == nullptr || item->step != phase::sent) {
        return;
    }
    if (response_bytes_ + response.body.size() > limits_.response_bytes) {
        ++counters_.unrecorded;
        settle(id, goal::mark_unknown);
        return;
    }
    response_bytes_ += response.body.size();
    item->response = std::move(response);
    settle(id, goal::record);
}

void claim_registry::finish_unknown(claim_id id) {
    const entry* item = find(id);
    if (item != nullptr && item->step == phase::sent) {
        settle(id, goal::mark_unknown);
    }
}

void claim_registry::abandon(claim_id id) {
    entry* item = find(id);
    if (item == nullptr) {
        return;
    }
    item->decide = nullptr;
    switch (item->step) {
        case phase::queued:
            item->may_exist ? settle(id, goal::remove) : erase(id);
            break;
        case phase::creating:
        case phase::checking:
            item->wanted = goal::remove;
            break;
        case phase::held:
            settle(id, goal::remove);
            break;
        case phase::sent:
            settle(id, goal::mark_unknown);
            break;
        case phase::settling:
            break;
    }
}

void claim_registry::enqueue(claim_id id) {
    find(id)->step = phase::queued;
    queue_.push_back(id);
    if (queue_.size() >= limits_.batch_size) {
        flush();
    } else if (!flush_scheduled_) {
        flush_scheduled_ = true;
        timers_.schedule(time_.now() + limits_.batch_window, [this] {
            flush_scheduled_ = false;
            flush();
        });
    }
}

void claim_registry::flush() {
    std::vector<claim_id> ids = std::exchange(queue_, {});
    std::erase_if(ids, [this](claim_id id) {
        const entry* item = find(id);
        return item == nullptr || item->step != phase::queued;
    });
    create(std::move(ids));
}

void claim_registry::create(std::vector<claim_id> ids) {
    if (ids.empty()) {
        return;
    }
    std::vector<platform::conditional_write> writes;
    writes.reserve(ids.size());
    for (const claim_id id : ids) {
        entry& item = *find(id);
        item.step = phase::creating;
        writes.push_back({claim_table, item.row_key, std::nullopt,
                          write_claim_row(item.row)});
    }
    ++counters_.transactions;
    outside_.tables.transact(
        std::move(writes),
        [this, ids = std::move(ids)](const write_result& result) {
            on_created(ids, result);
        });
}

void claim_registry::on_created(const std::vector<claim_id>& ids,
                                const write_result& result) {
    if (result.ok() && !result->applied) {
        on_conflicts(ids, result->conflicts);
        return;
    }
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (result.ok()) {
            on_held(ids[i], result->versions[i]);
        } else if (platform::may_have_been_applied(result.status())) {
            on_create_lost(ids[i]);
        } else {
            give_up_create(ids[i]);
        }
    }
}

// The claims without conflict go into a transaction of their own at once.
void claim_registry::on_conflicts(const std::vector<claim_id>& ids,
                                  std::span<const std::size_t> conflicts) {
    counters_.conflicts += conflicts.size();
    std::vector<claim_id> losers;
    std::vector<claim_id> others;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const bool lost = std::ranges::find(conflicts, i) != conflicts.end();
        (lost ? losers : others).push_back(ids[i]);
    }
    create(std::move(others));
    std::ranges::for_each(losers, [this](claim_id id) { check(id); });
}

void claim_registry::on_create_lost(claim_id id) {
    ++counters_.lost_answers;
    find(id)->may_exist = true;
    check(id);
}

void claim_registry::on_held(claim_id id, std::uint64_t version) {
    entry& item = *find(id);
    item.version = version;
    item.may_exist = true;
    if (item.wanted == goal::remove) {
        settle(id, goal::remove);
        return;
    }
    item.step = phase::held;
    decide(id, {claim_verdict::held});
}

// Nothing was run. A row that may exist is deleted once the platform returns.
void claim_registry::give_up_create(claim_id id) {
    if (!find(id)->may_exist) {
        decide_and_erase(id, {claim_verdict::unavailable});
        return;
    }
    const decision_callback callback = std::exchange(find(id)->decide, nullptr);
    find(id)->step = phase::settling;
    find(id)->wanted = goal::remove;
    retry_later(id);
    if (callback) {
        callback({claim_verdict::unavailable});
    }
}

void claim_registry::check(claim_id id) {
    find(id)->step = phase::checking;
    outside_.tables.read(
        claim_table, find(id)->row_key,
        [this, id](const read_result& result) { on_checked(id, result); });
}

void claim_registry::on_checked(claim_id id, const read_result& result) {
    entry& item = *find(id);
    if (!result.ok()) {
        give_up_create(id);
        return;
    }
    if (result->has_value()) {
        decide_existing(id, **result);
        return;
    }
    // The row is gone, or the lost write has not arrived.
    if (item.wanted == goal::remove ||
        ++item.creates >= limits_.create_attempts) {
        give_up_create(id);
        return;
    }
    ++counters_.retries;
    enqueue(id);
}

void claim_registry::decide_existing(claim_id id, const platform::row& found) {
    const absl::StatusOr<claim_row> row = read_claim_row(found.value);
    const entry& item = *find(id);
    if (!row.ok()) {
        give_up_create(id);
    } else if (row->attempt == item.row.attempt) {
        on_held(id, found.version);
    } else if (row->body_digest != item.row.body_digest) {
        decide_and_erase(id, {claim_verdict::mismatch});
    } else if (row->state == claim_state::done) {
        decide_done(id, row->response.value_or(stored_response{}));
    } else if (row->state == claim_state::unknown) {
        decide_and_erase(id, {claim_verdict::outcome_unknown});
    } else if (is_orphan(*row)) {
        mark_dead(id, *row, found.version);
    } else {
        decide_and_erase(id, {claim_verdict::in_progress});
    }
}

// A row of this incarnation that is not in `by_key_` under its own attempt has
// no owner any more either.
bool claim_registry::is_orphan(const claim_row& row) const {
    const bool is_own = row.host == host_ && row.incarnation == incarnation_;
    return is_own || outside_.owner_is_dead(row.host, row.incarnation);
}

void claim_registry::decide_done(claim_id id, const stored_response& stored) {
    recorded_response response{stored.status, stored.content_type,
                               decode_body(stored.body)};
    if (stored.object.empty()) {
        decide_and_erase(id, {claim_verdict::done, std::move(response)});
        return;
    }
    outside_.objects.read(
        stored.object,
        [this, id, response = std::move(response)](
            const absl::StatusOr<std::optional<std::string>>& body) mutable {
            claim_decision decision{claim_verdict::done};
            if (body.ok() && body->has_value()) {
                response.body = **body;
                decision.response = std::move(response);
            }
            decide_and_erase(id, std::move(decision));
        });
}

// The attempt of a dead owner may have run, whether or not the mark is
// written. Only a conflict can bring news: its owner was not dead.
void claim_registry::mark_dead(claim_id id, claim_row row,
                               std::uint64_t version) {
    row.state = claim_state::unknown;
    outside_.tables.transact(
        {{claim_table, find(id)->row_key, version, write_claim_row(row)}},
        [this, id](const write_result& result) {
            const bool conflict = result.ok() && !result->applied;
            if (conflict && ++find(id)->creates < limits_.create_attempts) {
                check(id);
                return;
            }
            decide_and_erase(id, {claim_verdict::outcome_unknown});
        });
}

void claim_registry::settle(claim_id id, goal wanted) {
    entry& item = *find(id);
    item.wanted = wanted;
    item.step = phase::settling;
    continue_settling(id);
}

void claim_registry::continue_settling(claim_id id) {
    const entry* item = find(id);
    if (needs_object(*item)) {
        store_object(id);
    } else if (!item->version.has_value()) {
        reload(id);
    } else {
        write_goal(id);
    }
}

bool claim_registry::needs_object(const entry& item) const {
    return item.wanted == goal::record && !item.object_stored &&
           item.response.body.size() > limits_.row_response_bytes;
}

void claim_registry::store_object(claim_id id) {
    const entry& item = *find(id);
    outside_.objects.create(
        "claim/" + item.row.attempt, item.response.body,
        [this, id](const absl::StatusOr<bool>& result) {
            // The key is unique to the attempt, so an existing object is the
            // result of an earlier try.
            find(id)->object_stored =
                result.ok() || absl::IsAborted(result.status());
            find(id)->object_stored ? continue_settling(id) : retry_later(id);
        });
}

void claim_registry::reload(claim_id id) {
    outside_.tables.read(
        claim_table, find(id)->row_key,
        [this, id](const read_result& result) { on_reloaded(id, result); });
}

void claim_registry::on_reloaded(claim_id id, const read_result& result) {
    if (!result.ok()) {
        retry_later(id);
        return;
    }
    if (!result->has_value()) {
        on_absent(id);
        return;
    }
    entry& item = *find(id);
    const absl::StatusOr<claim_row> row = read_claim_row((*result)->value);
    const bool own = row.ok() && row->attempt == item.row.attempt;
    const bool settled = own && item.wanted != goal::remove &&
                         row->state == final_row(item).state;
    if (!own || settled) {
        counters_.unrecorded += !own && item.wanted == goal::record ? 1 : 0;
        erase(id);
        return;
    }
    item.version = (*result)->version;
    write_goal(id);
}

// A deletion is complete when the row is seen absent twice: a create whose
// answer was lost may arrive after the first look.
void claim_registry::on_absent(claim_id id) {
    entry& item = *find(id);
    if (item.wanted == goal::remove && ++item.absences < 2) {
        retry_later(id);
        return;
    }
    counters_.unrecorded += item.wanted == goal::record ? 1 : 0;
    erase(id);
}

claim_row claim_registry::final_row(const entry& item) const {
    claim_row row = item.row;
    row.state =
        item.wanted == goal::record ? claim_state::done : claim_state::unknown;
    if (item.wanted == goal::record) {
        stored_response stored{item.response.status, item.response.content_type,
                               "", ""};
        if (item.object_stored) {
            stored.object = "claim/" + row.attempt;
        } else {
            stored.body = encode_body(item.response.body);
        }
        row.response = std::move(stored);
    }
    return row;
}

void claim_registry::write_goal(claim_id id) {
    const entry& item = *find(id);
    platform::conditional_write write{claim_table, item.row_key, item.version,
                                      std::nullopt};
    if (item.wanted != goal::remove) {
        write.value = write_claim_row(final_row(item));
    }
    ++counters_.transactions;
    outside_.tables.transact(
        {std::move(write)},
        [this, id](const write_result& result) { on_settled(id, result); });
}

void claim_registry::on_settled(claim_id id, const write_result& result) {
    if (result.ok() && result->applied) {
        erase(id);
        return;
    }
    const bool lost =
        !result.ok() && platform::may_have_been_applied(result.status());
    counters_.lost_answers += lost ? 1 : 0;
    if (lost || result.ok()) {
        find(id)->version.reset();
    }
    retry_later(id);
}

void claim_registry::retry_later(claim_id id) {
    ++counters_.retries;
    entry& item = *find(id);
    item.retry_delay = std::clamp(item.retry_delay * 2, limits_.first_retry,
                                  limits_.longest_retry);
    timers_.schedule(time_.now() + item.retry_delay, [this, id] {
        if (find(id) != nullptr) {
            continue_settling(id);
        }
    });
}

}  // namespace bronzehub::claims
