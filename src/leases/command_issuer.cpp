#include "leases/command_issuer.hpp"

namespace bronzehub::leases {

command_issuer::command_issuer(base::clock time, token_bucket bucket,
                               hooks outside, command_timing timing)
    : time_(std::move(time)),
      bucket_(std::move(bucket)),
      outside_(std::move(outside)),
      timing_(timing) {}

void command_issuer::set_desired(base::backend_server_id server,
                                 desired_state desired) {
    engine& item = engines_[server];
    item.desired = std::move(desired);
    item.step = command_step::waiting;
    item.generation = next_generation_++;
    item.not_before.reset();
    item.looked_again = false;
}

void command_issuer::forget(base::backend_server_id server) {
    engines_.erase(server);
}

std::optional<command_step> command_issuer::step_of(
    base::backend_server_id server) const {
    const auto found = engines_.find(server);
    return found == engines_.end() ? std::nullopt
                                   : std::optional(found->second.step);
}

std::chrono::milliseconds command_issuer::settling_time() const {
    return timing_.lease_duration + timing_.command_timeout;
}

void command_issuer::tick() {
    follow_lease();
    if (!token_) {
        return;
    }
    for (auto& [server, item] : engines_) {
        if (is_due(item)) {
            advance(server, item);
        }
    }
}

// With a new token everything is unknown again: another holder may have acted.
void command_issuer::follow_lease() {
    const std::optional<fencing_token> token = outside_.valid_token();
    if (!token || token == token_) {
        return;
    }
    token_ = token;
    token_since_ = time_.now();
    bucket_.drain();
    for (auto& [server, item] : engines_) {
        set_desired(server, desired_state(item.desired));
        item.state_known = false;
    }
}

bool command_issuer::is_due(const engine& item) const {
    return !item.not_before || time_.now() >= *item.not_before;
}

bool command_issuer::has_waited(const engine& item) const {
    return item.desired.checks_fencing ||
           time_.now() - token_since_ >= settling_time();
}

void command_issuer::advance(base::backend_server_id server, engine& item) {
    switch (item.step) {
        case command_step::waiting:
            if (!has_waited(item)) {
                return;
            }
            if (item.desired.checks_fencing || item.state_known) {
                send(server, item);
            } else {
                read_back(server, item);
            }
            return;
        case command_step::confirmed:
        case command_step::done:
            if (!item.desired.checks_fencing) {
                item.looked_again = true;
                read_back(server, item);
            }
            return;
        case command_step::sending:
        case command_step::reading:
            // The answer did not come within the command's timeout.
            retry(item);
            return;
    }
}

// An earlier command whose end is not known must not overwrite this one. The
// lease is checked right before the command leaves.
void command_issuer::send(base::backend_server_id server, engine& item) {
    const bool busy = item.busy_until && time_.now() < *item.busy_until;
    if (busy || outside_.valid_token() != token_ ||
        !bucket_.take(item.desired.weight_store_units)) {
        return;
    }
    ++counters_.sent;
    item.step = command_step::sending;
    item.not_before = time_.now() + timing_.command_timeout;
    item.busy_until = item.not_before;
    outside_.send(server, *token_, item.desired.state,
                  [this, server,
                   generation = item.generation](const absl::Status& status) {
                      on_sent(server, generation, status);
                  });
}

void command_issuer::on_sent(base::backend_server_id server,
                             std::uint64_t generation,
                             const absl::Status& status) {
    engine* item = current(server, generation);
    if (item == nullptr) {
        return;
    }
    if (!platform::may_have_been_applied(status)) {
        item->busy_until.reset();
    }
    if (absl::IsFailedPrecondition(status)) {
        // Another holder has acted; a new lease starts over.
        ++counters_.fenced;
        retry(*item);
    } else if (!status.ok()) {
        ++counters_.failed;
        retry(*item);
    } else if (item->desired.checks_fencing) {
        item->step = command_step::done;
    } else {
        read_back(server, *item);
    }
}

void command_issuer::read_back(base::backend_server_id server, engine& item) {
    item.step = command_step::reading;
    item.not_before = time_.now() + timing_.command_timeout;
    outside_.read_back(server, [this, server, generation = item.generation](
                                   const absl::StatusOr<std::string>& state) {
        on_read(server, generation, state);
    });
}

void command_issuer::on_read(base::backend_server_id server,
                             std::uint64_t generation,
                             const absl::StatusOr<std::string>& state) {
    engine* item = current(server, generation);
    if (item == nullptr) {
        return;
    }
    if (!state.ok()) {
        ++counters_.failed;
        retry(*item);
    } else if (*state == item->desired.state) {
        on_state_matches(*item);
    } else {
        counters_.repaired += item->looked_again ? 1 : 0;
        item->state_known = true;
        item->looked_again = false;
        item->step = command_step::waiting;
        item->not_before.reset();
    }
}

void command_issuer::on_state_matches(engine& item) {
    item.state_known = true;
    item.step =
        item.looked_again ? command_step::done : command_step::confirmed;
    item.not_before = time_.now() + (item.looked_again ? timing_.look_interval
                                                       : settling_time());
}

// Tries again from the start; the engine's state is not known any more.
void command_issuer::retry(engine& item) {
    item.generation = next_generation_++;
    item.step = command_step::waiting;
    item.state_known = false;
    item.not_before = time_.now() + timing_.retry_delay;
}

command_issuer::engine* command_issuer::current(base::backend_server_id server,
                                                std::uint64_t generation) {
    const auto found = engines_.find(server);
    const bool matches =
        found != engines_.end() && found->second.generation == generation;
    return matches ? &found->second : nullptr;
}

}  // namespace bronzehub::leases
