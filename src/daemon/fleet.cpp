#include "daemon/fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bronzehub::daemon {
namespace {

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

bool is_leaving(const configuration::backend_server& server) {
    return server.state == configuration::backend_server_state::leaving;
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
      incarnation_(incarnation),
      clock_(clock),
      hooks_(std::move(hooks)),
      entry_(entry_options_of(settings), clock,
             {.send =
                  [this](const base::host_id& host, protocol::body content) {
                      send(host, std::move(content));
                  },
              .start = hooks_.start,
              .refuse = hooks_.refuse}),
      dispatcher_(
          dispatcher_options_of(settings, incarnation), clock,
          [this](const base::host_id& host, const protocol::slot_grant& grant) {
              send(host, grant);
          }),
      retries_({}, clock) {}

void fleet::on_configuration(const configuration::snapshot_pointer& next) {
    configuration_ = next;
    apply();
}

void fleet::apply() {
    if (!configuration_) {
        return;
    }
    const auto& value = configuration_->value();
    std::vector<dispatch::dispatch_route> routes;
    std::vector<dispatch::dispatched_server> servers;
    std::vector<base::backend_server_id> leaving;
    for (const auto& server : value.backend_servers) {
        routes.push_back({server.id, server.service, settings_.host.name,
                          server.failure_domain});
        servers.push_back({server.id, server.service, server.initial_slots,
                           is_leaving(server)});
        if (is_leaving(server)) {
            leaving.push_back(server.id);
        }
    }
    const std::vector<dispatch::live_host> hosts{
        {settings_.host.name, settings_.host.failure_domain}};
    entry_.set_leaving(leaving);
    dispatcher_.set_live_hosts(hosts);
    dispatcher_.set_weights(weights_of(value));
    dispatcher_.set_fleet_capacity(capacity_of(value));
    dispatcher_.set_backend_servers(servers);
    entry_.set_dispatchers(routes);
}

void fleet::send(const base::host_id& host, protocol::body content) {
    protocol::message out{{settings_.host.name, incarnation_, ++sequence_},
                          std::move(content)};
    if (host != settings_.host.name) {
        hooks_.send_peer(host, std::move(out));
        return;
    }
    // Delivered later, so that no deciding object is entered from within its
    // own send hook.
    hooks_.post([this, out = std::move(out)] { on_message(out); });
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
        self.dispatcher_.on_release(from, content);
    }
    void operator()(const protocol::inventory& content) const {
        self.dispatcher_.on_inventory(from, content);
    }
    // The remaining types are not used yet.
    template <class Other>
    void operator()(const Other&) const {}
};

void fleet::on_message(const protocol::message& received) {
    std::visit(message_visitor{*this, received.from}, received.content);
}

void fleet::broadcast(const protocol::body&) {}

bool fleet::is_dead(const base::host_id& host,
                    std::uint64_t incarnation) const {
    // A daemon that runs is the highest incarnation of its host.
    return host == settings_.host.name && incarnation < incarnation_;
}

void fleet::tick() {
    entry_.tick();
    dispatcher_.tick();
}

nlohmann::json fleet::dump() const {
    nlohmann::json result;
    result["entry"] = entry_.dump();
    result["dispatcher"] = dispatcher_.dump();
    return result;
}

}  // namespace bronzehub::daemon
