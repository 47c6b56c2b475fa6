#include "daemon/fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bronzehub::daemon {
namespace {

// A notice of leaving is repeated with every reading of the host list. It is
// believed for longer than that takes, and no longer, so that a server that
// stays after all gets work again.
constexpr std::chrono::seconds leaving_lifetime{30};

dispatch::entry_options entry_options_of(
    const settings::daemon_settings& from) {
    dispatch::entry_options options;
    options.host = from.host.name;
    options.failure_domain = from.host.failure_domain;
    options.waiting_in_all = from.limits.waiting_calls;
    options.waiting_per_organisation =
        from.limits.waiting_calls_per_organisation_and_service;
    return options;
}

dispatch::dispatcher_options dispatcher_options_of(
    const settings::daemon_settings& from, std::uint64_t incarnation) {
    dispatch::dispatcher_options options;
    options.host = from.host.name;
    options.failure_domain = from.host.failure_domain;
    options.incarnation = incarnation;
    return options;
}

// Each service's slots in the whole fleet.
std::vector<dispatch::fleet_capacity> capacity_of(
    const configuration::fleet_configuration& value) {
    std::map<base::service_id, std::uint32_t> slots;
    for (const auto& server : value.backend_servers) {
        slots[server.service] += server.initial_slots;
    }
    std::vector<dispatch::fleet_capacity> result;
    std::ranges::transform(
        slots, std::back_inserter(result), [](const auto& entry) {
            return dispatch::fleet_capacity{entry.first, entry.second};
        });
    return result;
}

// The weight of every organisation for every service, with a mean of 1.
std::vector<dispatch::organisation_weight> weights_of(
    const configuration::fleet_configuration& value) {
    std::vector<dispatch::organisation_weight> result;
    for (const auto& service : value.services) {
        double total = 0;
        for (const auto& owner : value.organisations) {
            total += configuration::weight_of(owner, service.id);
        }
        const double mean =
            total / static_cast<double>(value.organisations.size());
        for (const auto& owner : value.organisations) {
            result.push_back(
                {service.id, owner.id,
                 configuration::weight_of(owner, service.id) / mean});
        }
    }
    return result;
}

}  // namespace

fleet::fleet(const settings::daemon_settings& settings,
             std::uint64_t incarnation, const base::clock& clock,
             fleet_hooks hooks)
    : settings_(settings),
      clock_(clock),
      hooks_(std::move(hooks)),
      slots_(clock),
      entry_(entry_options_of(settings), clock,
             {.send = hooks_.send,
              .start = hooks_.start,
              .refuse = hooks_.refuse}),
      dispatcher_(
          dispatcher_options_of(settings, incarnation), clock,
          [this](const base::host_id& host, const protocol::slot_grant& grant) {
              slots_.on_granted(grant);
              hooks_.send(host, grant);
          }),
      retries_({}, clock) {
    dispatcher_.set_alarm_hook(hooks_.alarm);
}

void fleet::on_configuration(const configuration::snapshot_pointer& next) {
    configuration_ = next;
    apply();
}

void fleet::on_hosts(std::vector<membership::dispatch_host> hosts) {
    hosts_ = std::move(hosts);
    apply();
}

bool fleet::is_leaving(const configuration::backend_server& server) const {
    return server.state == configuration::backend_server_state::leaving ||
           leaving_.contains(server.id);
}

void fleet::apply() {
    if (!configuration_) {
        return;
    }
    const auto& value = configuration_->value();
    std::vector<dispatch::live_host> live;
    std::ranges::transform(hosts_, std::back_inserter(live),
                           [](const membership::dispatch_host& host) {
                               return dispatch::live_host{host.host,
                                                          host.failure_domain};
                           });
    dispatcher_.set_live_hosts(live);
    dispatcher_.set_weights(weights_of(value));
    dispatcher_.set_fleet_capacity(capacity_of(value));
    apply_routes();
}

void fleet::apply_routes() {
    std::vector<dispatch::dispatch_route> routes;
    own_.clear();
    std::vector<base::backend_server_id> leaving;
    for (const auto& server : configuration_->value().backend_servers) {
        const bool leaves = is_leaving(server);
        if (leaves) {
            leaving.push_back(server.id);
        }
        const auto* chosen = membership::choose_dispatcher(
            {server.id, server.failure_domain}, hosts_);
        if (chosen == nullptr) {
            continue;
        }
        routes.push_back(
            {server.id, server.service, chosen->host, server.failure_domain});
        if (chosen->host == settings_.host.name) {
            own_.push_back(&server);
        }
    }
    entry_.set_leaving(leaving);
    slots_.set_servers(own_, *configuration_);
    apply_slots();
    entry_.set_dispatchers(routes);
}

void fleet::apply_slots() {
    std::vector<dispatch::dispatched_server> servers;
    std::ranges::transform(own_, std::back_inserter(servers),
                           [this](const configuration::backend_server* server) {
                               return dispatch::dispatched_server{
                                   server->id, server->service,
                                   slots_.allowed(server->id),
                                   is_leaving(*server)};
                           });
    dispatcher_.set_backend_servers(servers);
}

void fleet::on_host_list(std::span<const platform::listed_host> hosts) {
    if (!configuration_) {
        return;
    }
    protocol::leaving_notice notice;
    for (const auto& server : configuration_->value().backend_servers) {
        const auto listed = std::ranges::find(hosts, server.address,
                                              &platform::listed_host::address);
        if (listed == hosts.end()) {
            continue;
        }
        if (listed->state == platform::listed_state::leaving) {
            notice.backend_servers.push_back(server.id.value());
        }
    }
    if (!notice.backend_servers.empty()) {
        on_leaving_notice(notice);
        hooks_.broadcast(notice);
    }
}

void fleet::on_leaving_notice(const protocol::leaving_notice& notice) {
    const base::time_point until = clock_.now() + leaving_lifetime;
    bool is_news = false;
    for (const std::uint32_t id : notice.backend_servers) {
        is_news = leaving_.insert_or_assign(base::backend_server_id(id), until)
                      .second ||
                  is_news;
    }
    if (is_news && configuration_) {
        apply_routes();
    }
}

// Hands the content of a message to the object that it is for.
struct fleet::message_visitor {
    fleet& self;
    const protocol::sender& from;

    void operator()(const protocol::usage_report& content) const {
        self.dispatcher_.on_usage_report(from, content);
    }
    void operator()(const protocol::work_announcement& content) const {
        self.dispatcher_.on_announcement(from, content);
    }
    void operator()(const protocol::slot_grant& content) const {
        self.entry_.on_grant(from, content);
    }
    void operator()(const protocol::grant_release& content) const {
        self.slots_.on_released(content);
        self.dispatcher_.on_release(from, content);
    }
    void operator()(const protocol::inventory& content) const {
        self.dispatcher_.on_inventory(from, content);
    }
    void operator()(const protocol::leaving_notice& content) const {
        self.on_leaving_notice(content);
    }
    template <class Other>
    void operator()(const Other&) const {}
};

void fleet::on_message(const protocol::message& received) {
    std::visit(message_visitor{*this, received.from}, received.content);
}

void fleet::tick() {
    const base::time_point now = clock_.now();
    if (std::erase_if(leaving_,
                      [&](const auto& entry) { return entry.second <= now; }) >
            0 &&
        configuration_) {
        apply_routes();
    }
    if (slots_.take_changed()) {
        apply_slots();
    }
    entry_.tick();
    dispatcher_.tick();
}

nlohmann::json fleet::dump() const {
    nlohmann::json result;
    result["entry"] = entry_.dump();
    result["dispatcher"] = dispatcher_.dump();
    result["slots"] = slots_.dump();
    return result;
}

}  // namespace bronzehub::daemon
