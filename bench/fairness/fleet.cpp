#include "fleet.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

#include "base/hash.hpp"
#include "protocol/codec.hpp"

namespace bronzehub::bench {
namespace {

constexpr base::service_id service(1);

// Output tokens that one slot produces in a second.
constexpr double units_per_slot_second = 50;

// Bytes that the transport adds to a message.
constexpr std::size_t framing_bytes = 9;

constexpr auto tick_interval = std::chrono::milliseconds(20);
constexpr double sample_interval = 0.1;
constexpr double restart_delay = 5;
constexpr double recognition_delay = 1;
constexpr double warm_up = 5;

std::vector<double> weights_for(std::size_t organisations) {
    std::vector<double> weights(organisations, 1.0);
    constexpr std::array large{4.0, 4.0, 2.0};
    std::copy_n(large.begin(), std::min(large.size(), organisations),
                weights.begin());
    return weights;
}

base::host_id host_name(std::size_t index) {
    return "h" + std::to_string(index);
}

std::size_t host_index(const base::host_id& host) {
    return std::stoul(host.substr(1));
}

base::failure_domain_id domain_name(std::size_t index) {
    return "d" + std::to_string(index);
}

base::organisation_id organisation_number(std::size_t index) {
    return base::organisation_id(static_cast<std::uint32_t>(index + 1));
}

base::backend_server_id replica_number(std::size_t index) {
    return base::backend_server_id(static_cast<std::uint32_t>(index + 1));
}

}  // namespace

struct fleet::daemon {
    std::size_t failure_domain = 0;
    std::uint64_t incarnation = 0;
    std::array<std::uint64_t, std::variant_size_v<protocol::body>> sequences{};
    std::unique_ptr<dispatch::entry_dispatch> entry;
    std::unique_ptr<dispatch::dispatcher> dispatcher;
};

template <class Function>
auto fleet::decide(Function&& function) {
    using wall = std::chrono::steady_clock;
    const wall::time_point start = wall::now();
    ++decision_depth_;
    const auto finish = [&] {
        if (--decision_depth_ == 0) {
            const std::chrono::duration<double> spent = wall::now() - start;
            result_.decision_seconds += spent.count();
        }
    };
    if constexpr (std::is_void_v<decltype(function())>) {
        function();
        finish();
    } else {
        auto value = function();
        finish();
        return value;
    }
}

fleet::fleet(fleet_size size, workload load, design chosen, std::uint64_t seed)
    : size_(size),
      load_(std::move(load)),
      design_(std::move(chosen)),
      random_(seed),
      origin_(events_.now()),
      daemons_(size.daemons),
      incarnations_(size.daemons),
      believed_dead_(size.daemons),
      link_free_(size.daemons, std::vector<base::time_point>(size.daemons)),
      replicas_(size.replicas),
      weights_(weights_for(size.organisations)),
      waiting_(size.organisations),
      meter_(weights_, static_cast<double>(size.replicas) * size.slots),
      truth_(meter_) {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
        replicas_[i].failure_domain = i % size_.failure_domains;
    }
}

fleet::~fleet() = default;

double fleet::now() const {
    return std::chrono::duration<double>(events_.now() - origin_).count();
}

base::duration fleet::to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(seconds));
}

measured fleet::run() {
    const double slots = static_cast<double>(size_.replicas) * size_.slots;
    const double longest = load_.rebuild_share > 0 ? load_.rebuild_factor : 1.0;
    result_.largest_request = 1.5 * load_.short_mean * longest / slots;
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        start_daemon(i);
    }
    refresh_views();
    const std::size_t last = size_.organisations - 1;
    for (std::size_t i = 0; i < size_.organisations; ++i) {
        const double start = i == last ? load_.newcomer_at.value_or(0.1) : 0.1;
        events_.after(to_duration(start), [this, i] { begin_organisation(i); });
    }
    schedule_sample();
    schedule_kills();
    schedule_partition();
    events_.run_until(origin_ + to_duration(load_.length));

    if (!load_.partition_from) {
        result_.gap = meter_.largest_gap();
    }
    result_.gap_settled = meter_.largest_gap();
    result_.utilisation = busy_ / capacity_while_waiting_;
    result_.bytes_per_second = static_cast<double>(bytes_) / load_.length /
                               static_cast<double>(size_.daemons);
    result_.unused_share =
        static_cast<double>(unused_) /
        static_cast<double>(std::max<std::uint64_t>(grants_, 1));
    result_.newcomer_seconds = newcomer_reached_.value_or(load_.length) -
                               load_.newcomer_at.value_or(0);
    return result_;
}

void fleet::start_daemon(std::size_t index) {
    auto state = std::make_unique<daemon>();
    state->failure_domain = index % size_.failure_domains;
    state->incarnation = ++incarnations_[index];
    const auto domain = domain_name(state->failure_domain);
    const auto forward = [this, index](const base::host_id& to,
                                       protocol::body body) {
        send(index, to, std::move(body));
    };
    dispatch::entry_options entry;
    entry.host = host_name(index);
    entry.failure_domain = domain;
    entry.usage_interval = to_duration(design_.exchange);
    entry.charge_as_it_streams = design_.charge_as_it_streams;
    state->entry = std::make_unique<dispatch::entry_dispatch>(
        entry, events_.clock(),
        dispatch::entry_hooks{
            .send = forward,
            .start =
                [this](std::uint64_t id, base::backend_server_id server) {
                    start_call(id, server.value() - 1);
                },
            .refuse = [](std::uint64_t, const base::refusal&) {}});
    state->dispatcher = std::make_unique<dispatch::dispatcher>(
        dispatch::dispatcher_options{
            .host = host_name(index),
            .failure_domain = domain,
            .incarnation = state->incarnation,
            .exchange_interval = to_duration(design_.exchange),
            .grant_ahead = design_.grant_ahead,
            .merge_usage_reports = design_.merge_usage_reports,
            .count_expected_remainder = design_.count_expected_remainder},
        events_.clock(), forward);
    std::vector<dispatch::organisation_weight> weights;
    weights.reserve(weights_.size());
    for (std::size_t i = 0; i < weights_.size(); ++i) {
        weights.push_back({.service = service,
                           .organisation = organisation_number(i),
                           .weight = weights_[i]});
    }
    state->dispatcher->set_weights(weights);
    if (design_.sharing == slot_sharing::late_binding) {
        state->dispatcher->set_alarm_hook(
            [this](base::service_id, const dispatch::fairness_event& event) {
                on_alarm(event);
            });
    }
    const std::array capacity{dispatch::fleet_capacity{
        .service = service,
        .slots = static_cast<std::uint32_t>(size_.replicas) * size_.slots}};
    state->dispatcher->set_fleet_capacity(capacity);
    daemons_[index] = std::move(state);
    // Daemons do not tick in step.
    events_.after(std::chrono::milliseconds(index),
                  [this, index, incarnation = incarnations_[index]] {
                      schedule_ticks(index, incarnation);
                  });
}

void fleet::schedule_ticks(std::size_t index, std::uint64_t incarnation) {
    daemon* state = daemons_[index].get();
    if (state == nullptr || state->incarnation != incarnation) {
        return;
    }
    decide([&] {
        state->entry->tick();
        state->dispatcher->tick();
    });
    events_.after(tick_interval, [this, index, incarnation] {
        schedule_ticks(index, incarnation);
    });
}

void fleet::schedule_kills() {
    if (!load_.kill_every) {
        return;
    }
    std::size_t victim = 0;
    for (double at = *load_.kill_every; at < load_.length;
         at += *load_.kill_every) {
        events_.after(to_duration(at), [this, victim] { kill_daemon(victim); });
        victim = (victim + 1) % size_.daemons;
    }
}

void fleet::kill_daemon(std::size_t index) {
    daemons_[index].reset();
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : calls_) {
        if (call.daemon == index) {
            lost.push_back(id);
        }
    }
    std::ranges::sort(lost);
    for (const std::uint64_t id : lost) {
        const std::size_t organisation = calls_.at(id).organisation;
        if (calls_.at(id).replica) {
            leave_replica(id);
            continue;
        }
        calls_.erase(id);
        change_waiting(organisation, -1);
        submit(organisation);
    }
    events_.after(to_duration(size_.detection), [this, index] {
        believed_dead_[index] = true;
        refresh_views();
    });
    events_.after(to_duration(restart_delay), [this, index] {
        start_daemon(index);
        refresh_view(index);
    });
    events_.after(to_duration(restart_delay + recognition_delay),
                  [this, index] {
                      believed_dead_[index] = false;
                      refresh_views();
                  });
}

void fleet::schedule_partition() {
    if (!load_.partition_from || !load_.partition_to) {
        return;
    }
    const double from = *load_.partition_from;
    const double to = *load_.partition_to;
    events_.after(to_duration(from), [this] {
        result_.gap = meter_.largest_gap();
        cut_ = true;
        break_calls_across();
    });
    events_.after(to_duration(from + size_.detection), [this] {
        believed_cut_ = true;
        refresh_views();
    });
    events_.after(to_duration(to), [this] {
        cut_ = false;
        meter_.restart(now());
    });
    events_.after(to_duration(to + recognition_delay), [this] {
        believed_cut_ = false;
        refresh_views();
    });
    constexpr double settling = 10;
    events_.after(to_duration(to + settling), [this] {
        result_.gap_after_heal = meter_.largest_gap();
        meter_.restart(now());
    });
}

void fleet::break_calls_across() {
    std::vector<std::uint64_t> broken;
    for (const auto& [id, call] : calls_) {
        if (call.replica &&
            separated(daemons_[call.daemon]->failure_domain,
                      replicas_[*call.replica].failure_domain, cut_)) {
            broken.push_back(id);
        }
    }
    std::ranges::sort(broken);
    for (const std::uint64_t id : broken) {
        end_call(id, false);
    }
}

// The first failure domain is cut off from the others.
bool fleet::separated(std::size_t left, std::size_t right, bool cut) const {
    return cut && (left == 0) != (right == 0);
}

std::size_t fleet::dispatcher_of(std::size_t replica,
                                 std::size_t observer) const {
    if (design_.sharing != slot_sharing::late_binding) {
        return observer;
    }
    std::size_t best = size_.daemons;
    std::uint64_t best_hash = 0;
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        const bool usable =
            !believed_dead_[i] &&
            i % size_.failure_domains == replicas_[replica].failure_domain;
        const std::uint64_t hash = base::stable_hash(host_name(i), replica + 1);
        if (usable && (best == size_.daemons || hash > best_hash)) {
            best = i;
            best_hash = hash;
        }
    }
    return best;
}

void fleet::refresh_views() {
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        refresh_view(i);
    }
}

void fleet::refresh_view(std::size_t index) {
    daemon* state = daemons_[index].get();
    if (state == nullptr) {
        return;
    }
    const bool alone = design_.sharing != slot_sharing::late_binding;
    std::vector<dispatch::live_host> live;
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        const std::size_t domain = i % size_.failure_domains;
        if (i == index ||
            (!alone && !believed_dead_[i] &&
             !separated(state->failure_domain, domain, believed_cut_))) {
            live.push_back({host_name(i), domain_name(domain)});
        }
    }
    std::vector<dispatch::dispatch_route> routes;
    std::vector<dispatch::dispatched_server> own;
    const auto slices = slice_slots();
    for (std::size_t r = 0; r < replicas_.size(); ++r) {
        const std::size_t domain = replicas_[r].failure_domain;
        const std::size_t by = dispatcher_of(r, index);
        if (by == size_.daemons ||
            separated(state->failure_domain, domain, believed_cut_)) {
            continue;
        }
        routes.push_back(
            {.backend_server = replica_number(r),
             .service = service,
             .host = host_name(by),
             .failure_domain = domain_name(by % size_.failure_domains)});
        if (by == index) {
            own.push_back({.id = replica_number(r),
                           .service = service,
                           .slots = alone ? slices[index][r] : size_.slots});
        }
    }
    decide([&] {
        state->dispatcher->set_live_hosts(live);
        state->dispatcher->set_backend_servers(own);
        state->entry->set_dispatchers(routes);
    });
}

// Slots by daemon and replica. Fixed slices are equal; lent slices follow
// what each daemon has running and waiting.
std::vector<std::vector<std::uint32_t>> fleet::slice_slots() const {
    const std::size_t total = size_.replicas * size_.slots;
    std::vector<double> share(size_.daemons, 1);
    if (design_.sharing == slot_sharing::lent_slices && now() > 1) {
        const double base =
            static_cast<double>(total) / static_cast<double>(size_.daemons);
        double spare = 0;
        double missing = 0;
        std::vector<double> need(size_.daemons);
        for (std::size_t i = 0; i < size_.daemons; ++i) {
            const daemon* state = daemons_[i].get();
            need[i] = state == nullptr
                          ? 0
                          : static_cast<double>(state->entry->waiting() +
                                                state->entry->running());
            spare += std::max(0.0, base - need[i]);
            missing += std::max(0.0, need[i] - base);
        }
        for (std::size_t i = 0; i < size_.daemons; ++i) {
            const double extra = std::max(0.0, need[i] - base);
            share[i] = missing == 0 ? base
                       : extra > 0  ? base + spare * extra / missing
                                    : need[i];
        }
    }
    const double sum = std::accumulate(share.begin(), share.end(), 0.0);
    std::vector<std::vector<std::uint32_t>> result(
        size_.daemons, std::vector<std::uint32_t>(size_.replicas));
    double bound = 0;
    std::size_t slot = 0;
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        bound += share[i] / sum * static_cast<double>(total);
        for (; slot < total && static_cast<double>(slot) + 0.5 < bound;
             ++slot) {
            ++result[i][slot % size_.replicas];
        }
    }
    return result;
}

void fleet::refresh_slices() {
    if (design_.sharing == slot_sharing::lent_slices) {
        refresh_views();
    }
}

void fleet::send(std::size_t from, const base::host_id& to,
                 protocol::body body) {
    daemon& state = *daemons_[from];
    grants_ += std::holds_alternative<protocol::slot_grant>(body) ? 1 : 0;
    const auto* release = std::get_if<protocol::grant_release>(&body);
    unused_ += release != nullptr &&
                       release->reason == protocol::release_reason::unused
                   ? 1
                   : 0;
    protocol::message message{
        .from = {.host = host_name(from),
                 .incarnation = state.incarnation,
                 .sequence = ++state.sequences[body.index()]},
        .content = std::move(body)};
    forward_totals(from, message);
    const std::size_t target = host_index(to);
    if (target == from) {
        deliver(from, message);
    } else {
        transmit(from, target, std::move(message));
    }
}

// With lent slices the daemons exchange totals although each schedules only
// its own queue.
void fleet::forward_totals(std::size_t from, const protocol::message& message) {
    if (design_.sharing != slot_sharing::lent_slices ||
        !std::holds_alternative<protocol::usage_report>(message.content)) {
        return;
    }
    for (std::size_t i = 0; i < size_.daemons; ++i) {
        if (i != from) {
            transmit(from, i, message);
        }
    }
}

void fleet::transmit(std::size_t from, std::size_t to,
                     protocol::message message) {
    bytes_ += protocol::encode(message).size() + framing_bytes;
    if (separated(from % size_.failure_domains, to % size_.failure_domains,
                  cut_)) {
        return;
    }
    std::uniform_real_distribution<double> delay(0.0005, 0.001);
    auto& free = link_free_[from][to];
    free = std::max(free, events_.now() + to_duration(delay(random_)));
    events_.at(free,
               [this, to, held = std::move(message)] { deliver(to, held); });
}

void fleet::deliver(std::size_t to, const protocol::message& message) {
    daemon* state = daemons_[to].get();
    if (state == nullptr) {
        return;
    }
    const auto& from = message.from;
    const auto& content = message.content;
    decide([&] {
        if (const auto* grant = std::get_if<protocol::slot_grant>(&content)) {
            state->entry->on_grant(from, *grant);
        } else if (const auto* usage =
                       std::get_if<protocol::usage_report>(&content)) {
            state->dispatcher->on_usage_report(from, *usage);
        } else if (const auto* work =
                       std::get_if<protocol::work_announcement>(&content)) {
            state->dispatcher->on_announcement(from, *work);
        } else if (const auto* release =
                       std::get_if<protocol::grant_release>(&content)) {
            state->dispatcher->on_release(from, *release);
        } else if (const auto* held =
                       std::get_if<protocol::inventory>(&content)) {
            state->dispatcher->on_inventory(from, *held);
        }
    });
}

void fleet::begin_organisation(std::size_t organisation) {
    const bool floods = organisation + 1 == size_.organisations;
    const std::size_t calls = size_.depth * (floods ? load_.flood_factor : 1);
    for (std::size_t i = 0; i < calls; ++i) {
        submit(organisation);
    }
}

std::size_t fleet::choose_daemon(std::size_t organisation) {
    constexpr double home_share = 0.9;
    std::uniform_real_distribution<double> part(0, 1);
    std::uniform_int_distribution<std::size_t> any(0, size_.daemons - 1);
    std::size_t chosen = load_.one_entry ? 0 : organisation % size_.daemons;
    if (part(random_) >= home_share) {
        chosen = any(random_);
    }
    while (daemons_[chosen] == nullptr) {
        chosen = any(random_);
    }
    return chosen;
}

double fleet::choose_duration() {
    std::uniform_real_distribution<double> part(0, 1);
    const bool rebuild = part(random_) < load_.rebuild_share;
    const double mean = load_.short_mean * (rebuild ? load_.rebuild_factor : 1);
    return mean * (0.5 + part(random_));
}

void fleet::change_waiting(std::size_t organisation, int change) {
    measure_utilisation();
    const auto step = static_cast<std::size_t>(change);
    waiting_[organisation] += step;
    total_waiting_ += step;
    meter_.set_waiting(organisation, waiting_[organisation] > 0, now());
    truth_.set_waiting(organisation, waiting_[organisation] > 0, now());
}

void fleet::submit(std::size_t organisation) {
    const std::uint64_t id = next_call_++;
    const std::size_t target = choose_daemon(organisation);
    calls_[id] = {.organisation = organisation,
                  .daemon = target,
                  .duration = choose_duration(),
                  .replica = std::nullopt,
                  .running_since = std::nullopt};
    change_waiting(organisation, 1);
    const auto refused = decide([&] {
        return daemons_[target]->entry->submit(
            {.id = id,
             .service = service,
             .organisation = organisation_number(organisation),
             .cost_hint = std::nullopt});
    });
    if (refused) {
        // The caller tries again a little later.
        calls_.erase(id);
        change_waiting(organisation, -1);
        events_.after(std::chrono::milliseconds(100),
                      [this, organisation] { submit(organisation); });
    }
}

void fleet::start_call(std::uint64_t id, std::size_t replica) {
    call_state& call = calls_.at(id);
    call.replica = replica;
    ++result_.started;
    meter_.admitted(call.organisation, id);
    truth_.admitted(call.organisation, id);
    change_waiting(call.organisation, -1);
    // Each organisation keeps its number of waiting calls.
    events_.after(
        {}, [this, organisation = call.organisation] { submit(organisation); });
    if (replicas_[replica].running < size_.slots) {
        run_call(id);
    } else {
        replicas_[replica].queue.push_back(id);
    }
}

void fleet::run_call(std::uint64_t id) {
    call_state& call = calls_.at(id);
    measure_utilisation();
    ++replicas_[*call.replica].running;
    ++total_running_;
    call.running_since = now();
    meter_.running(id, now());
    truth_.running(id, now());
    events_.after(to_duration(call.duration), [this, id] {
        if (calls_.contains(id)) {
            end_call(id, true);
        }
    });
}

// Takes the call off its replica, which then runs the next in its queue.
void fleet::leave_replica(std::uint64_t id) {
    const call_state call = calls_.at(id);
    replica_state& replica = replicas_[*call.replica];
    measure_utilisation();
    meter_.ended(id, now());
    truth_.ended(id, now());
    calls_.erase(id);
    if (!call.running_since) {
        std::erase(replica.queue, id);
        return;
    }
    --replica.running;
    --total_running_;
    if (!replica.queue.empty()) {
        const std::uint64_t next = replica.queue.front();
        replica.queue.pop_front();
        run_call(next);
    }
}

void fleet::end_call(std::uint64_t id, bool completed) {
    const call_state call = calls_.at(id);
    leave_replica(id);
    const double served = call.running_since ? now() - *call.running_since : 0;
    const double cost = served * units_per_slot_second;
    decide([&] {
        daemons_[call.daemon]->entry->finished(
            id, {.completed = completed,
                 .cost = cost,
                 .output_units = static_cast<std::uint32_t>(cost),
                 .total = to_duration(served)});
    });
}

void fleet::schedule_sample() {
    events_.after(to_duration(sample_interval), [this] {
        sample();
        schedule_sample();
    });
}

void fleet::sample() {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : calls_) {
        if (call.running_since) {
            ids.push_back(id);
        }
    }
    std::ranges::sort(ids);
    for (const std::uint64_t id : ids) {
        const call_state& call = calls_.at(id);
        const double cost =
            (now() - *call.running_since) * units_per_slot_second;
        decide([&] { daemons_[call.daemon]->entry->progress(id, cost); });
    }
    if (!cut_) {
        meter_.sample(now());
    }
    truth_.sample(now());
    measure_breach();
    measure_newcomer();
    refresh_slices();
}

void fleet::on_alarm(const dispatch::fairness_event& event) {
    if (!event.begins) {
        return;
    }
    ++result_.alarms;
    // Daemons learn of a gap up to an exchange after it closed again.
    constexpr double recent = 5;
    if (!breach_seen_ || now() - *breach_seen_ > recent) {
        ++result_.false_alarms;
    } else if (!result_.alarm_delay) {
        result_.alarm_delay = now() - *breach_began_;
    }
}

void fleet::measure_breach() {
    const double allowed =
        dispatch::fairness_alarm::bound + result_.largest_request;
    if (truth_.present_gap() <= allowed) {
        return;
    }
    result_.breached = true;
    breach_seen_ = now();
    if (!breach_began_) {
        breach_began_ = now();
    }
}

void fleet::measure_newcomer() {
    if (!load_.newcomer_at || newcomer_reached_ || now() < *load_.newcomer_at) {
        return;
    }
    constexpr double window = 1;
    constexpr double enough = 0.9;
    const std::size_t last = size_.organisations - 1;
    newcomer_served_.emplace_back(now(), meter_.served(last, now()));
    while (newcomer_served_.front().first < now() - window) {
        newcomer_served_.pop_front();
    }
    const double sum = std::accumulate(weights_.begin(), weights_.end(), 0.0);
    const double share = static_cast<double>(size_.replicas) * size_.slots *
                         weights_[last] / sum;
    const double served =
        newcomer_served_.back().second - newcomer_served_.front().second;
    const double span = now() - newcomer_served_.front().first;
    if (span > window / 2 && served / span >= enough * share) {
        newcomer_reached_ = now();
    }
}

void fleet::measure_utilisation() {
    const double time = now();
    const double step = time - last_utilisation_;
    last_utilisation_ = time;
    if (total_waiting_ == 0 || time < warm_up) {
        return;
    }
    busy_ += step * total_running_;
    capacity_while_waiting_ +=
        step * static_cast<double>(size_.replicas) * size_.slots;
}

}  // namespace bronzehub::bench
