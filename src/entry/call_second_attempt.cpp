// Member functions of `call` that send a request whose response is late to a
// second backend server.
#include <algorithm>
#include <utility>

#include "entry/call.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {
double call::work() const {
    return is_engine_request() ? fleet_state::token_cost(description_) : 1;
}

void call::record_latency() {
    environment_.hedging.on_response(
        hedging::make_kind(route_->name, description_.prompt_tokens),
        environment_.loop.now() - attempt_->sent_at);
}

void call::arm_second_attempt() {
    if (!environment_.hedging.is_enabled() || response_started_ || trial_) {
        return;
    }
    const auto delay = environment_.hedging.delay(
        {hedging::make_kind(route_->name, description_.prompt_tokens),
         service_->name, route_->is_idempotent(), attempts_sent_,
         route_->max_attempts, time_left()});
    if (!delay) {
        return;
    }
    cancel_second();
    second_timer_ =
        environment_.loop.run_after(*delay, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->ended_) {
                self->second_timer_.reset();
                self->begin_second_attempt();
            }
        });
}

void call::begin_second_attempt() {
    const bool waits_for_response =
        attempt_ && !attempt_->connection->is_closed() && attempt_->status == 0;
    if (!waits_for_response || second_ || second_search_ ||
        environment_.fleet.configuration() != configuration_ ||
        !(organisation_.empty() || has_fresh_keys(environment_)) ||
        environment_.quarantine.needs_clearance(shared_segments_) ||
        environment_.time_to_stop() || environment_.load.is_late()) {
        return;
    }
    if (is_engine_request()) {
        search_second_engine();
        return;
    }
    auto candidates = plain_candidates();
    std::ranges::for_each(candidates, [&](auto& candidate) {
        candidate.is_allowed =
            candidate.is_allowed &&
            candidate.server->id != attempt_->server.id &&
            hedging::second_attempt_policy::has_room(
                std::max(candidate.in_flight, candidate.reported_load),
                candidate.server->slots);
    });
    const auto* chosen =
        overload::choose_plain_server(candidates, environment_.failure_domain);
    if (chosen == nullptr) {
        environment_.reporter.on_second_attempt(report_, "no room");
        return;
    }
    second_selected_at_ = environment_.loop.now();
    send_second(*chosen->server);
}

void call::search_second_engine() {
    auto& quarantine = environment_.quarantine;
    if (!shared_segments_.empty() &&
        (quarantine.needs_clearance(shared_segments_) ||
         quarantine.quarantined_for(shared_segments_) > base::duration(0))) {
        return;
    }
    search_criteria criteria = make_search_criteria();
    criteria.only_if_free = true;
    const auto if_searching = [weak = weak_from_this()](auto callback) {
        const auto self = weak.lock();
        if (self && !self->ended_ && self->second_search_) {
            callback(*self);
        }
    };
    const auto give_up = [if_searching] {
        if_searching([](call& self) {
            self.environment_.reporter.on_second_attempt(self.report_,
                                                         "no room");
            self.cancel_second();
        });
    };
    second_search_ = std::make_shared<place_search>(
        environment_.search, std::move(criteria),
        search_callbacks{
            [if_searching](const slot_response&, const std::string& server) {
                if_searching([&](call& self) {
                    const auto* found =
                        self.environment_.servers.find_available(server);
                    if (found == nullptr) {
                        self.cancel_second();
                        return;
                    }
                    self.second_selected_at_ = self.environment_.loop.now();
                    self.send_second(*found);
                });
            },
            give_up, [give_up](base::duration) { give_up(); }});
    auto excluded = unsuitable_servers();
    excluded.insert(attempt_->server.id);
    const auto now = environment_.loop.now();
    second_search_->start(excluded, now, now);
}

void call::send_second(const fleet_state::backend_server& server) {
    if (!environment_.hedging.try_spend(service_->name, work()) ||
        !environment_.retries.try_retry(service_->name)) {
        environment_.reporter.on_second_attempt(report_, "over the limit");
        cancel_second();
        return;
    }
    if (is_engine_request()) {
        environment_.shares.on_granted(organisation_, cost_);
    }
    second_ = open_attempt(server, second_search_.get());
    report_.attempts = attempts_sent_;
    start_exchange(*second_);
}

void call::on_second_body(std::string_view bytes) {
    if (ended_) {
        return;
    }
    if (second_->is_stream) {
        promote_second(false);
        on_body(bytes);
        return;
    }
    append_body(*second_, bytes);
}

void call::on_second_end(exchange_result result, std::string_view reason) {
    const auto used = second_->connection;
    const auto server = second_->server;
    const auto outcome = classify_attempt(*second_, result);
    if (overload::is_usable(outcome, second_->status)) {
        promote_second(false);
        on_exchange_end(result, reason);
    } else {
        environment_.status.on_result(server.id, second_->health_epoch, false);
        if (outcome == overload::attempt_outcome::not_sent) {
            --attempts_sent_;
            if (second_search_) {
                second_search_->release_unreached();
            }
        } else if (outcome != overload::attempt_outcome::rejected) {
            may_have_run_ = true;
        }
        environment_.reporter.on_second_attempt(report_, "failed");
        close_second(result == exchange_result::complete);
    }
    if (result == exchange_result::complete) {
        return_connection(server, used);
    }
}

void call::promote_second(bool first_ended) {
    if (!first_ended) {
        record_latency();
        end_attempt(true, false);
        may_have_run_ = true;
    }
    environment_.reporter.on_second_attempt(
        report_, first_ended ? "replaced a failure" : "responded first");
    attempt_ = std::exchange(second_, std::nullopt);
    search_ = std::exchange(second_search_, nullptr);
    server_selected_at_ = second_selected_at_;
    report_.server = attempt_->server.id;
    relay_.switch_server();
}

void call::close_second(bool keep_connection) {
    auto& status = environment_.status.find_or_create(second_->server.id);
    status.in_flight -= status.in_flight > 0 ? 1 : 0;
    if (!keep_connection) {
        second_->connection->close();
    }
    second_.reset();
    cancel_second();
}

void call::cancel_second() {
    if (second_timer_) {
        environment_.loop.cancel(*std::exchange(second_timer_, std::nullopt));
    }
    if (second_) {
        environment_.reporter.on_second_attempt(report_, "cancelled");
        close_second(false);
        return;
    }
    if (const auto search = std::exchange(second_search_, nullptr)) {
        search->release();
    }
}

}  // namespace bronzehub::entry
