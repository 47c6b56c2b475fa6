#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "accounting/cost_estimator.hpp"
#include "accounting/usage_merge.hpp"
#include "dispatch/demand_table.hpp"
#include "dispatch/dispatcher_state.hpp"
#include "dispatch/slot_table.hpp"

namespace bronzehub::dispatch {
namespace {

using accounting::work_key;
using seconds = std::chrono::duration<double>;

// Tick of the sender, delay of the network and tick of the receiver.
constexpr auto report_margin = std::chrono::milliseconds(100);

work_key key_of(std::uint32_t service, std::uint32_t organisation) {
    return {.service = base::service_id(service),
            .organisation = base::organisation_id(organisation)};
}

}  // namespace

class dispatcher::implementation {
public:
    implementation(dispatcher_options options, base::clock clock,
                   send_hook send)
        : options_(std::move(options)),
          clock_(std::move(clock)),
          send_(std::move(send)),
          slots_(options_.host, options_.incarnation, options_.grant_lifetime),
          demand_(options_.grant_lifetime),
          next_observation_(clock_.now()) {}

    void set_alarm_hook(alarm_hook alarm) { alarm_ = std::move(alarm); }

    void set_backend_servers(std::span<const dispatched_server> servers) {
        slots_.set_servers(servers, clock_.now());
        for (const auto& service : services_ | std::views::keys) {
            if (!slots_.has_service(service)) {
                forget_service(service);
            }
        }
        tick();
    }

    void set_weights(std::span<const organisation_weight> weights) {
        std::map<base::service_id, std::vector<fair_order::weight_entry>> all;
        for (const auto& entry : weights) {
            all[entry.service].emplace_back(entry.organisation, entry.weight);
        }
        for (const auto& [service, entries] : all) {
            services_[service].order.set_weights(entries);
        }
    }

    void set_fleet_capacity(std::span<const fleet_capacity> capacity) {
        for (const fleet_capacity& entry : capacity) {
            services_[entry.service].fleet_slots = entry.slots;
            update_debt(services_[entry.service]);
        }
    }

    void set_live_hosts(std::span<const live_host> hosts) {
        const auto before = std::exchange(live_, {});
        partitioned_ = hosts.size() < before.size() ||
                       (partitioned_ && hosts.size() <= before.size());
        std::set<base::host_id> names;
        for (const live_host& host : hosts) {
            live_[host.host] = host.failure_domain;
            names.insert(host.host);
        }
        for (const auto& host : before | std::views::keys) {
            if (!live_.contains(host)) {
                forget_host(host);
            }
        }
        counters_.reclaimed += slots_.set_live_hosts(std::move(names)).size();
        tick();
    }

    void on_announcement(const protocol::sender& from,
                         const protocol::work_announcement& announcement) {
        if (!accept(from)) {
            return;
        }
        const base::time_point now = clock_.now();
        std::set<base::service_id> touched;
        for (const auto& row : announcement.rows) {
            const work_key key = key_of(row.service, row.organisation);
            const auto age = std::chrono::milliseconds(row.oldest_wait_ms);
            demand_.announce(from, key, row.waiting, row.last_grant, now - age,
                             now, true);
            sync_waiting(key);
            touched.insert(key.service);
        }
        std::ranges::for_each(touched, [this](auto id) { dispatch(id); });
    }

    void on_usage_report(const protocol::sender& from,
                         const protocol::usage_report& report) {
        if (!accept(from)) {
            return;
        }
        std::map<base::service_id, std::vector<base::organisation_id>> touched;
        last_report_[from.host] = clock_.now();
        merge_.merge(from, report, [&](const accounting::usage_change& change) {
            apply(from, change);
            touched[change.key.service].push_back(change.key.organisation);
        });
        drop_reported(from.host);
        for (const auto& [service, organisations] : touched) {
            services_[service].order.clamp(organisations);
            dispatch(service);
        }
    }

    void on_release(const protocol::sender& from,
                    const protocol::grant_release& release) {
        if (!accept(from)) {
            return;
        }
        const grant_key key{.backend_server = release.backend_server,
                            .term = release.term,
                            .id = release.grant_id};
        const auto grant = slots_.release(from.host, key);
        if (!grant) {
            ++counters_.unknown_releases;
            return;
        }
        settle(from.host, *grant, release);
        dispatch(grant->work.service);
    }

    void on_inventory(const protocol::sender& from,
                      const protocol::inventory& inventory) {
        if (!accept(from)) {
            return;
        }
        const auto reclaimed =
            slots_.apply_inventory(from, inventory, clock_.now());
        for (const held_grant& grant : reclaimed) {
            drop_charge(from.host, grant.key);
        }
        counters_.reclaimed += reclaimed.size();
        tick();
    }

    void tick() {
        suspend_silent_hosts();
        for (const auto& service : services_ | std::views::keys) {
            dispatch(service);
        }
        if (clock_.now() >= next_observation_) {
            next_observation_ = clock_.now() + options_.exchange_interval;
            observe_fairness();
        }
    }

    nlohmann::json dump() const {
        nlohmann::json result;
        result["granted"] = counters_.granted;
        result["unused"] = counters_.unused;
        result["reclaimed"] = counters_.reclaimed;
        result["unknown_releases"] = counters_.unknown_releases;
        result["backend_servers"] = dump_servers();
        result["services"] = dump_services();
        return result;
    }

private:
    // False for messages of a former incarnation. A new incarnation means
    // that the host restarted and holds nothing of what it held before.
    bool accept(const protocol::sender& from) {
        const auto [known, added] =
            incarnations_.try_emplace(from.host, from.incarnation);
        if (from.incarnation > known->second) {
            known->second = from.incarnation;
            forget_host(from.host);
            counters_.reclaimed += slots_.drop_host(from.host).size();
        }
        unanswered_since_.erase(from.host);
        return from.incarnation == known->second;
    }

    // A daemon that received a grant reports in the next exchange at the
    // latest. Grants to a dead one would occupy slots until membership
    // declares it dead, and its organisations would come first, because they
    // are not served.
    void suspend_silent_hosts() {
        const base::time_point limit =
            clock_.now() - options_.exchange_interval - report_margin;
        std::erase_if(unanswered_since_, [&](const auto& entry) {
            if (entry.second > limit) {
                return false;
            }
            demand_.suspend_host(entry.first);
            return true;
        });
    }

    void forget_host(const base::host_id& host) {
        for (const work_key& key : demand_.drop_host(host)) {
            sync_waiting(key);
        }
        merge_.drop_running(host, [&](const accounting::usage_change& change) {
            add_remainder(change);
        });
        for (const auto& charge : unreported_[host]) {
            services_[charge.work.service].order.add_unreported(
                charge.work.organisation, -charge.units);
        }
        unreported_.erase(host);
    }

    // Entry daemons report to the dispatchers of a service only. Without
    // reports the positions go stale, and the totals that arrive when the
    // role returns would count as service of that moment.
    void forget_service(base::service_id id) {
        service_state& service = services_[id];
        service.order.reset();
        report_alarms(id, service.alarm.reset());
        merge_.forget_service(id);
        for (auto& charges : unreported_ | std::views::values) {
            std::erase_if(charges, [id](const unreported_charge& charge) {
                return charge.work.service == id;
            });
        }
        for (const work_key& key : demand_.keys(id)) {
            sync_waiting(key);
        }
    }

    void sync_waiting(const work_key& key) {
        services_[key.service].order.set_waiting(key.organisation,
                                                 demand_.waiting(key));
    }

    void add_remainder(const accounting::usage_change& change) {
        if (options_.count_expected_remainder) {
            services_[change.key.service].order.add_remainder(
                change.key.organisation, change.remainder);
        }
    }

    void apply(const protocol::sender& from,
               const accounting::usage_change& change) {
        services_[change.key.service].order.add_received(
            change.key.organisation, change.served);
        if (options_.merge_usage_reports) {
            services_[change.key.service].order.add_served(
                change.key.organisation, change.served);
            add_remainder(change);
        }
        if (change.waiting && live_.contains(from.host)) {
            demand_.announce(from, change.key, *change.waiting,
                             change.last_grant, std::nullopt, clock_.now(),
                             false);
            sync_waiting(change.key);
        }
    }

    // A report of the host contains every call that ended before it and every
    // grant that had reached the host.
    void drop_reported(const base::host_id& host) {
        if (!options_.merge_usage_reports) {
            return;
        }
        const base::time_point covered =
            clock_.now() - options_.grant_round_trip;
        std::erase_if(unreported_[host], [&](const unreported_charge& charge) {
            const bool reported = charge.ended || charge.issued <= covered;
            if (reported) {
                services_[charge.work.service].order.add_unreported(
                    charge.work.organisation, -charge.units);
            }
            return reported;
        });
    }

    unreported_charge* find_charge(const base::host_id& host,
                                   const grant_key& key) {
        auto& charges = unreported_[host];
        const auto found =
            std::ranges::find(charges, key, &unreported_charge::key);
        return found == charges.end() ? nullptr : &*found;
    }

    void set_charge(unreported_charge& charge, double units) {
        services_[charge.work.service].order.add_unreported(
            charge.work.organisation, units - charge.units);
        charge.units = units;
    }

    void drop_charge(const base::host_id& host, const grant_key& key) {
        if (auto* charge = find_charge(host, key)) {
            set_charge(*charge, 0);
            std::erase_if(unreported_[host],
                          [&](const auto& entry) { return entry.key == key; });
        }
    }

    void settle(const base::host_id& host, const held_grant& grant,
                const protocol::grant_release& release) {
        if (release.reason == protocol::release_reason::unused) {
            ++counters_.unused;
            demand_.declined(host, grant.work);
            drop_charge(host, grant.key);
            return;
        }
        if (release.reason == protocol::release_reason::completed) {
            learn(grant.work, release);
        }
        if (!options_.merge_usage_reports) {
            services_[grant.work.service].order.add_served(
                grant.work.organisation, release.served);
            drop_charge(host, grant.key);
        } else if (auto* charge = find_charge(host, grant.key)) {
            set_charge(*charge, release.served);
            charge->ended = true;
        }
    }

    void learn(const work_key& work, const protocol::grant_release& release) {
        constexpr double ms_per_second = 1000;
        service_state& service = services_[work.service];
        estimator_.record(work, 0, 0, release.served);
        service.largest_request =
            std::max(service.largest_request, release.served);
        const double duration = release.duration_ms / ms_per_second;
        service.call_seconds.add(duration);
        if (duration > 0) {
            service.units_per_slot_second.add(release.served / duration);
        }
        update_debt(service);
    }

    // Cost units that the whole fleet serves in a second.
    static double capacity(const service_state& service) {
        return service.fleet_slots * service.units_per_slot_second.value();
    }

    void update_debt(service_state& service) const {
        service.order.set_debt(seconds(options_.debt).count() *
                               capacity(service));
    }

    void observe_fairness() {
        for (auto& [id, service] : services_) {
            std::vector<organisation_usage> usage;
            for (const auto& state : service.order.states()) {
                usage.push_back({.organisation = state.organisation,
                                 .weight = state.weight,
                                 .received = state.received,
                                 .remainder = state.remainder,
                                 .waiting = state.waiting});
            }
            const alarm_context context{
                .capacity = capacity(service),
                .largest_request = largest_request(id, service),
                .no_capacity = service.fleet_slots == 0,
                .partitioned = partitioned_,
                .stale_exchange = exchange_is_stale()};
            report_alarms(id, service.alarm.observe(usage, context));
        }
    }

    void report_alarms(base::service_id id,
                       const std::vector<fairness_event>& events) const {
        if (alarm_) {
            std::ranges::for_each(
                events, [&](const auto& event) { alarm_(id, event); });
        }
    }

    // A call that outlives every call that has ended is expected to last as
    // long again; the first long calls would otherwise raise alarms.
    double largest_request(base::service_id id,
                           const service_state& service) const {
        const seconds held = slots_.longest_held(id, clock_.now());
        const double running =
            held.count() * service.units_per_slot_second.value();
        return running > service.largest_request ? 2 * running
                                                 : service.largest_request;
    }

    // A live host that holds calls reports in every exchange.
    bool exchange_is_stale() const {
        const base::time_point oldest =
            clock_.now() -
            fairness_alarm::observations * options_.exchange_interval;
        return std::ranges::any_of(live_, [&](const auto& host) {
            const auto found = last_report_.find(host.first);
            return found == last_report_.end() || found->second < oldest;
        });
    }

    // Grants beyond the slots that make up for the time in which a freed slot
    // would wait for its next call.
    std::uint32_t slots_ahead(const service_state& service,
                              std::uint32_t slots) const {
        const double mean = service.call_seconds.value();
        if (!options_.grant_ahead || mean <= 0) {
            return 0;
        }
        const double calls =
            slots * seconds(options_.grant_round_trip).count() / mean;
        return std::min(slots, static_cast<std::uint32_t>(std::ceil(calls)));
    }

    // The send hook may deliver to this daemon and come back here; the outer
    // call then continues the loop.
    void dispatch(base::service_id id) {
        if (dispatching_) {
            pending_.insert(id);
            return;
        }
        dispatching_ = true;
        pending_.insert(id);
        while (!pending_.empty()) {
            const base::service_id next = *pending_.begin();
            pending_.erase(pending_.begin());
            while (grant_one(next)) {
            }
        }
        dispatching_ = false;
    }

    bool grant_one(base::service_id id) {
        service_state& service = services_[id];
        const base::time_point now = clock_.now();
        const auto organisation =
            service.order.pick([&](base::organisation_id candidate) {
                return demand_.grantable(
                    {.service = id, .organisation = candidate});
            });
        if (!organisation) {
            return false;
        }
        const auto server = slots_.pick(id, now, [&](std::uint32_t slots) {
            return slots_ahead(service, slots);
        });
        if (!server) {
            return false;
        }
        const work_key key{.service = id, .organisation = *organisation};
        const auto host = demand_.take(
            key, now, [this](const base::host_id& name, base::duration age) {
                return age + preference(name);
            });
        if (host) {
            issue(*server, *host, key);
        }
        return host.has_value();
    }

    base::duration preference(const base::host_id& host) const {
        const auto found = live_.find(host);
        const bool own =
            found != live_.end() && found->second == options_.failure_domain;
        return own ? options_.domain_preference : base::duration::zero();
    }

    void issue(base::backend_server_id server, const base::host_id& host,
               const work_key& key) {
        const base::time_point now = clock_.now();
        const auto grant = slots_.issue(server, host, key, now);
        const double units = estimator_.estimate(key, 0, std::nullopt);
        unreported_[host].push_back(
            {.key = {.backend_server = grant.backend_server,
                     .term = grant.term,
                     .id = grant.grant_id},
             .work = key,
             .units = units,
             .issued = now});
        services_[key.service].order.add_unreported(key.organisation, units);
        demand_.issued(host, key, grant.grant_id, now);
        ++counters_.granted;
        unanswered_since_.try_emplace(host, now);
        send_(host, grant);
    }

    nlohmann::json dump_servers() const {
        auto result = nlohmann::json::array();
        for (const auto& [id, server] : slots_.servers()) {
            result.push_back({{"backend_server", id.value()},
                              {"service", server.service.value()},
                              {"slots", server.slots},
                              {"in_use", server.in_use},
                              {"leaving", server.leaving},
                              {"term", server.term}});
        }
        return result;
    }

    nlohmann::json dump_services() const {
        auto result = nlohmann::json::array();
        for (const auto& [id, service] : services_) {
            nlohmann::json entry{
                {"service", id.value()},
                {"fleet_slots", service.fleet_slots},
                {"mean_call_seconds", service.call_seconds.value()}};
            auto rows = nlohmann::json::array();
            for (const auto& state : service.order.states()) {
                rows.push_back({{"organisation", state.organisation.value()},
                                {"weight", state.weight},
                                {"virtual_time", state.virtual_time},
                                {"position", state.position()},
                                {"waiting", state.waiting}});
            }
            entry["organisations"] = std::move(rows);
            result.push_back(std::move(entry));
        }
        return result;
    }

    dispatcher_options options_;
    base::clock clock_;
    send_hook send_;
    slot_table slots_;
    demand_table demand_;
    accounting::usage_merge merge_;
    accounting::cost_estimator estimator_;
    std::map<base::service_id, service_state> services_;
    std::map<base::host_id, std::vector<unreported_charge>> unreported_;
    std::map<base::host_id, std::uint64_t> incarnations_;
    std::map<base::host_id, base::failure_domain_id> live_;
    std::map<base::host_id, base::time_point> last_report_;
    // When a host received the first grant since its last message.
    std::map<base::host_id, base::time_point> unanswered_since_;
    std::set<base::service_id> pending_;
    alarm_hook alarm_;
    base::time_point next_observation_;
    bool partitioned_ = false;  // Since hosts were lost and until some return.
    dispatch_counters counters_;
    bool dispatching_ = false;
};

dispatcher::dispatcher(dispatcher_options options, base::clock clock,
                       send_hook send)
    : self_(std::make_unique<implementation>(
          std::move(options), std::move(clock), std::move(send))) {}

dispatcher::~dispatcher() = default;

void dispatcher::set_alarm_hook(alarm_hook alarm) {
    self_->set_alarm_hook(std::move(alarm));
}

void dispatcher::set_backend_servers(
    std::span<const dispatched_server> servers) {
    self_->set_backend_servers(servers);
}

void dispatcher::set_weights(std::span<const organisation_weight> weights) {
    self_->set_weights(weights);
}

void dispatcher::set_fleet_capacity(std::span<const fleet_capacity> capacity) {
    self_->set_fleet_capacity(capacity);
}

void dispatcher::set_live_hosts(std::span<const live_host> hosts) {
    self_->set_live_hosts(hosts);
}

void dispatcher::on_announcement(
    const protocol::sender& from,
    const protocol::work_announcement& announcement) {
    self_->on_announcement(from, announcement);
}

void dispatcher::on_usage_report(const protocol::sender& from,
                                 const protocol::usage_report& report) {
    self_->on_usage_report(from, report);
}

void dispatcher::on_release(const protocol::sender& from,
                            const protocol::grant_release& release) {
    self_->on_release(from, release);
}

void dispatcher::on_inventory(const protocol::sender& from,
                              const protocol::inventory& inventory) {
    self_->on_inventory(from, inventory);
}

void dispatcher::tick() {
    self_->tick();
}

nlohmann::json dispatcher::dump() const {
    return self_->dump();
}

}  // namespace bronzehub::dispatch
