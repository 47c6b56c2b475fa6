#include "dispatch/entry_dispatch.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "accounting/cost_estimator.hpp"
#include "accounting/usage_counters.hpp"
#include "admission/backlog.hpp"
#include "dispatch/announcer.hpp"

namespace bronzehub::dispatch {
namespace {

using accounting::work_key;

work_key key_of(const waiting_call& call) {
    return {.service = call.service, .organisation = call.organisation};
}

std::uint32_t to_ms(base::duration time) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

// The grant that a running call occupies.
struct used_grant {
    base::host_id dispatcher;
    protocol::slot_grant grant;
};

struct call_state {
    waiting_call call;
    base::time_point submitted;
    std::list<call_id>::iterator place;  // In its queue, while waiting.
    // Backend servers that failed the call, until when they are avoided.
    std::map<base::backend_server_id, base::time_point> excluded;
    std::optional<used_grant> grant;  // Set while running.
    double charged = 0;
    double consumed = 0;
};

struct call_queue {
    std::list<call_id> calls;
    admission::wait_estimator wait;
};

base::refusal expired() {
    return {.code = base::refusal_code::deadline_exceeded,
            .outcome = base::call_outcome::not_run,
            .message = "the deadline passed while the call waited",
            .retry_after = std::nullopt};
}

base::refusal organisation_limit_reached(std::size_t limit) {
    return {base::refusal_code::backlog_full, base::call_outcome::not_run,
            "the organisation's limit of " + std::to_string(limit) +
                " waiting calls for this service is reached",
            std::chrono::seconds(1)};
}

base::refusal no_dispatcher() {
    return {.code = base::refusal_code::no_backend_server,
            .outcome = base::call_outcome::not_run,
            .message = "no backend server of the service is reachable",
            .retry_after = std::chrono::seconds(1)};
}

}  // namespace

class entry_dispatch::implementation {
public:
    implementation(entry_options options, base::clock clock, entry_hooks hooks)
        : options_(std::move(options)),
          clock_(std::move(clock)),
          hooks_(std::move(hooks)),
          backlog_({.per_queue = options_.waiting_per_organisation,
                    .in_all = options_.waiting_in_all}),
          announcer_(
              {.host = options_.host,
               .failure_domain = options_.failure_domain,
               .first_fan_out = options_.first_fan_out},
              [this](const work_key& key) { return waiting_row(key); },
              hooks_.send),
          last_tick_(clock_.now()),
          next_flush_(last_tick_ + options_.announcement_delay),
          next_usage_(last_tick_),
          next_complete_(last_tick_),
          next_inventory_(last_tick_ + options_.inventory_interval),
          next_idle_inventory_(last_tick_ + options_.idle_inventory_interval) {}

    std::optional<base::refusal> submit(const waiting_call& call) {
        const base::time_point now = clock_.now();
        const work_key key = key_of(call);
        if (!announcer_.has_dispatcher(call.service)) {
            return no_dispatcher();
        }
        call_queue& queue = queues_[key];
        const std::size_t length = queue.calls.size();
        if (length >= call.queue_limit) {
            return organisation_limit_reached(call.queue_limit);
        }
        if (auto refused = backlog_.check(
                length, queue.wait.estimate(length, now), now, call.deadline)) {
            return refused;
        }
        call_state& state = calls_[call.id];
        state.call = call;
        state.submitted = now;
        enqueue(state, queue.calls.end());
        announcer_.changed(key);
        return std::nullopt;
    }

    bool cancel(call_id id) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || found->second.grant) {
            return false;
        }
        const work_key key = key_of(found->second.call);
        dequeue(found->second);
        calls_.erase(found);
        announcer_.changed(key);
        return true;
    }

    void progress(call_id id, double cost) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || !found->second.grant) {
            return;
        }
        call_state& state = found->second;
        const double before = state.consumed;
        state.consumed = std::max(before, cost);
        estimator_.advance(key_of(state.call), state.call.kind, before,
                           state.consumed);
        if (options_.charge_as_it_streams) {
            charge(state);
        }
    }

    void finished(call_id id, const finished_call& end) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || !found->second.grant) {
            return;
        }
        call_state& state = found->second;
        const double before = state.consumed;
        if (end.outcome != base::call_outcome::not_run) {
            state.consumed = std::max(state.consumed, end.cost);
        }
        charge(state);
        if (end.completed && end.outcome == base::call_outcome::run) {
            estimator_.record(key_of(state.call), state.call.kind, before,
                              state.consumed);
        }
        const used_grant grant = *state.grant;
        const double served = state.consumed;
        running_.erase(id);
        calls_.erase(found);
        release(grant,
                {.reason = end.completed ? protocol::release_reason::completed
                                         : protocol::release_reason::failed,
                 .served = served,
                 .first_byte_ms = to_ms(end.first_byte),
                 .duration_ms = to_ms(end.total),
                 .output_units = end.output_units});
    }

    void returned(call_id id, bool started) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || !found->second.grant) {
            return;
        }
        call_state& state = found->second;
        const used_grant grant = *std::exchange(state.grant, std::nullopt);
        running_.erase(id);
        state.excluded.insert_or_assign(
            base::backend_server_id(grant.grant.backend_server),
            clock_.now() + options_.exclusion);
        if (started) {
            state.call.deadline = base::time_point::max();
        }
        const work_key key = key_of(state.call);
        if (state.call.deadline <= clock_.now()) {
            calls_.erase(found);
            release(grant, {.reason = protocol::release_reason::failed});
            hooks_.refuse(id, expired());
            return;
        }
        enqueue(state, queues_[key].calls.begin());
        release(grant, {.reason = protocol::release_reason::failed});
        announcer_.changed(key);
    }

    void on_grant(const protocol::sender& from,
                  const protocol::slot_grant& grant) {
        const base::backend_server_id server(grant.backend_server);
        const work_key key{
            .service = base::service_id(grant.service),
            .organisation = base::organisation_id(grant.organisation)};
        const used_grant used{.dispatcher = from.host, .grant = grant};
        if (holds(used)) {
            return;
        }
        announcer_.granted(key, from, grant.grant_id);
        const auto id = acceptable(server) ? next_call(key, server)
                                           : std::optional<call_id>();
        if (!id) {
            release(used, {.reason = protocol::release_reason::unused});
            announcer_.declined(key);
            return;
        }
        start(calls_.at(*id), used);
        announcer_.changed(key);
    }

    void set_dispatchers(std::span<const dispatch_route> routes) {
        const auto gained = announcer_.set_routes(routes);
        for (const base::host_id& host : gained) {
            send_inventory(host);
        }
        announcer_.flush();
    }

    void set_leaving(std::span<const base::backend_server_id> leaving) {
        leaving_ = {leaving.begin(), leaving.end()};
    }

    void tick() {
        const base::time_point now = clock_.now();
        last_tick_ = now;
        refuse_expired(now);
        if (now >= next_usage_) {
            next_usage_ = now + options_.usage_interval;
            report_usage(now);
        }
        if (now >= next_flush_) {
            next_flush_ = now + options_.announcement_delay;
            announcer_.flush();
        }
        if (now >= next_inventory_) {
            next_inventory_ = now + options_.inventory_interval;
            report_inventories(now);
        }
    }

    std::size_t waiting() const { return backlog_.waiting(); }
    std::size_t running() const { return running_.size(); }

    nlohmann::json dump() const {
        nlohmann::json result{{"waiting", waiting()},
                              {"running", running()},
                              {"declined_grants", declined_}};
        auto rows = nlohmann::json::array();
        for (const auto& [key, queue] : queues_) {
            const auto* used = usage_.find(key);
            rows.push_back(
                {{"service", key.service.value()},
                 {"organisation", key.organisation.value()},
                 {"waiting", queue.calls.size()},
                 {"running", used == nullptr ? 0 : used->running},
                 {"served", used == nullptr ? 0 : used->served_total}});
        }
        result["queues"] = std::move(rows);
        return result;
    }

private:
    void enqueue(call_state& state, std::list<call_id>::iterator before) {
        const work_key key = key_of(state.call);
        state.place = queues_[key].calls.insert(before, state.call.id);
        deadlines_.emplace(state.call.deadline, state.call.id);
        backlog_.add();
    }

    void dequeue(call_state& state) {
        queues_[key_of(state.call)].calls.erase(state.place);
        deadlines_.erase({state.call.deadline, state.call.id});
        backlog_.remove();
    }

    // A grant that arrives after this daemon stood still may have been
    // reclaimed already; its slot can belong to another call.
    bool acceptable(base::backend_server_id server) const {
        return !leaving_.contains(server) &&
               clock_.now() - last_tick_ <= options_.grant_lifetime;
    }

    bool holds(const used_grant& used) const {
        return std::ranges::any_of(running_, [&](call_id id) {
            const used_grant& own = *calls_.at(id).grant;
            return own.grant.grant_id == used.grant.grant_id &&
                   own.grant.term == used.grant.term &&
                   own.dispatcher == used.dispatcher;
        });
    }

    // The first waiting call that has not failed to connect to the server.
    std::optional<call_id> next_call(const work_key& key,
                                     base::backend_server_id server) const {
        const auto queue = queues_.find(key);
        if (queue == queues_.end()) {
            return std::nullopt;
        }
        const base::time_point now = clock_.now();
        const auto& calls = queue->second.calls;
        const auto found = std::ranges::find_if(calls, [&](call_id id) {
            const call_state& state = calls_.at(id);
            return !is_excluded(state, server, now) &&
                   state.call.deadline > now;
        });
        return found == calls.end() ? std::nullopt : std::optional(*found);
    }

    static bool is_excluded(const call_state& state,
                            base::backend_server_id server,
                            base::time_point now) {
        const auto found = state.excluded.find(server);
        return found != state.excluded.end() && found->second > now;
    }

    void start(call_state& state, const used_grant& used) {
        call_queue& queue = queues_[key_of(state.call)];
        dequeue(state);
        queue.wait.started(clock_.now(), !queue.calls.empty());
        state.grant = used;
        running_.insert(state.call.id);
        hooks_.start(state.call.id,
                     base::backend_server_id(used.grant.backend_server));
    }

    void charge(call_state& state) {
        usage_.at(key_of(state.call)).served_total +=
            state.consumed - state.charged;
        state.charged = state.consumed;
    }

    // Releases at the issuer and, when the role has moved, at the present
    // dispatcher, which may have adopted the grant.
    void release(const used_grant& used, protocol::grant_release message) {
        message.grant_id = used.grant.grant_id;
        message.term = used.grant.term;
        message.backend_server = used.grant.backend_server;
        const bool unused = message.reason == protocol::release_reason::unused;
        declined_ += unused ? 1 : 0;
        const auto current = announcer_.dispatcher_of(
            base::backend_server_id(used.grant.backend_server));
        hooks_.send(used.dispatcher, message);
        if (current && *current != used.dispatcher && !unused) {
            hooks_.send(*current, message);
        }
    }

    protocol::waiting_row waiting_row(const work_key& key) const {
        protocol::waiting_row row{.service = key.service.value(),
                                  .organisation = key.organisation.value()};
        const auto queue = queues_.find(key);
        if (queue != queues_.end() && !queue->second.calls.empty()) {
            const auto& calls = queue->second.calls;
            row.waiting = static_cast<std::uint32_t>(calls.size());
            row.oldest_wait_ms =
                to_ms(clock_.now() - calls_.at(calls.front()).submitted);
        }
        return row;
    }

    void refuse_expired(base::time_point now) {
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            const call_id id = deadlines_.begin()->second;
            cancel(id);
            hooks_.refuse(id, expired());
        }
    }

    void update_usage() {
        usage_.for_each([](const work_key&, accounting::usage_state& state) {
            state.running = 0;
            state.expected_remainder = 0;
            state.waiting = 0;
        });
        for (const call_id id : running_) {
            const call_state& state = calls_.at(id);
            const work_key key = key_of(state.call);
            auto& usage = usage_.at(key);
            ++usage.running;
            usage.expected_remainder += estimator_.expected_remainder(
                key, state.call.kind, state.call.cost_hint, state.consumed);
        }
        for (const auto& [key, queue] : queues_) {
            usage_.at(key).waiting =
                static_cast<std::uint32_t>(queue.calls.size());
        }
    }

    void report_usage(base::time_point now) {
        update_usage();
        const bool complete = now >= next_complete_;
        if (complete) {
            next_complete_ = now + options_.complete_usage_interval;
        }
        announcer_.send_usage(usage_.take_report(complete));
    }

    void report_inventories(base::time_point now) {
        const bool all = now >= next_idle_inventory_;
        if (all) {
            next_idle_inventory_ = now + options_.idle_inventory_interval;
        }
        for (const base::host_id& host : announcer_.hosts()) {
            if (all || announcer_.may_grant(host) || holds_grant_of(host)) {
                send_inventory(host);
            }
        }
    }

    bool concerns(const used_grant& used, const base::host_id& host) const {
        return used.dispatcher == host ||
               announcer_.dispatcher_of(
                   base::backend_server_id(used.grant.backend_server)) == host;
    }

    bool holds_grant_of(const base::host_id& host) const {
        return std::ranges::any_of(running_, [&](call_id id) {
            return concerns(*calls_.at(id).grant, host);
        });
    }

    void send_inventory(const base::host_id& host) {
        protocol::inventory inventory;
        for (const call_id id : running_) {
            const used_grant& used = *calls_.at(id).grant;
            if (concerns(used, host)) {
                inventory.grants.push_back(
                    {.grant_id = used.grant.grant_id,
                     .term = used.grant.term,
                     .dispatcher = used.dispatcher,
                     .backend_server = used.grant.backend_server,
                     .service = used.grant.service,
                     .organisation = used.grant.organisation});
            }
        }
        hooks_.send(host, std::move(inventory));
    }

    entry_options options_;
    base::clock clock_;
    entry_hooks hooks_;
    admission::backlog backlog_;
    announcer announcer_;
    accounting::cost_estimator estimator_;
    accounting::usage_counters usage_;
    std::unordered_map<call_id, call_state> calls_;
    std::map<work_key, call_queue> queues_;
    std::set<std::pair<base::time_point, call_id>> deadlines_;
    std::set<call_id> running_;
    std::set<base::backend_server_id> leaving_;
    std::uint64_t declined_ = 0;
    base::time_point last_tick_;
    base::time_point next_flush_;
    base::time_point next_usage_;
    base::time_point next_complete_;
    base::time_point next_inventory_;
    base::time_point next_idle_inventory_;
};

entry_dispatch::entry_dispatch(entry_options options, base::clock clock,
                               entry_hooks hooks)
    : self_(std::make_unique<implementation>(
          std::move(options), std::move(clock), std::move(hooks))) {}

entry_dispatch::~entry_dispatch() = default;

std::optional<base::refusal> entry_dispatch::submit(const waiting_call& call) {
    return self_->submit(call);
}

bool entry_dispatch::cancel(call_id id) {
    return self_->cancel(id);
}

void entry_dispatch::progress(call_id id, double cost) {
    self_->progress(id, cost);
}

void entry_dispatch::finished(call_id id, const finished_call& end) {
    self_->finished(id, end);
}

void entry_dispatch::returned(call_id id, bool started) {
    self_->returned(id, started);
}

void entry_dispatch::on_grant(const protocol::sender& from,
                              const protocol::slot_grant& grant) {
    self_->on_grant(from, grant);
}

void entry_dispatch::set_dispatchers(std::span<const dispatch_route> routes) {
    self_->set_dispatchers(routes);
}

void entry_dispatch::set_leaving(
    std::span<const base::backend_server_id> leaving) {
    self_->set_leaving(leaving);
}

void entry_dispatch::tick() {
    self_->tick();
}

std::size_t entry_dispatch::waiting() const {
    return self_->waiting();
}

std::size_t entry_dispatch::running() const {
    return self_->running();
}

nlohmann::json entry_dispatch::dump() const {
    return self_->dump();
}

}  // namespace bronzehub::dispatch
