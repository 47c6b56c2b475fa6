#include "daemon/node.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "backend_client/client.hpp"
#include "base/clock.hpp"
#include "calls/call_manager.hpp"
#include "calls/call_responses.hpp"
#include "configuration/snapshot_holder.hpp"
#include "daemon/callers_api.hpp"
#include "daemon/claim_link.hpp"
#include "daemon/control_plane.hpp"
#include "daemon/daemon_metrics.hpp"
#include "daemon/decision_loop.hpp"
#include "daemon/fleet.hpp"
#include "daemon/operators_api.hpp"
#include "daemon/peer_link.hpp"
#include "daemon/startup.hpp"
#include "http_server/server.hpp"

namespace bronzehub::daemon {
namespace {

using std::chrono::milliseconds;

// Claims that arrive within 5 ms share a transaction.
constexpr milliseconds control_tick{5};
constexpr milliseconds decision_tick{20};
constexpr milliseconds membership_tick{50};
constexpr milliseconds progress_tick{100};
constexpr milliseconds drain_check{50};
constexpr std::chrono::seconds busy_retry{1};
constexpr std::size_t operator_threads = 1;
constexpr std::uint64_t operator_body_bytes = 4UL * 1024 * 1024;

}  // namespace

class node::implementation {
public:
    implementation(const settings::daemon_settings& settings,
                   logging::logger& log);
    ~implementation();

    absl::Status start();
    void drain(std::function<void()> drained);
    std::size_t active_calls();

private:
    absl::Status start_listeners();
    void accept_configuration(const configuration::snapshot_pointer& next);
    void admit(std::uint64_t id, std::string request_id,
               calls::routed_call call,
               std::shared_ptr<http_server::response_writer> writer);
    void check_drained();
    calls::transfer_hooks transfer_hooks();
    calls::schedule_hooks schedule_hooks();
    peer_hooks make_peer_hooks();
    fleet_hooks make_fleet_hooks();
    void on_message(const protocol::message& received);
    void send(const base::host_id& host, protocol::body content);
    void on_members_changed();
    void poll_host_list();
    control_hooks make_control_hooks();
    operators_hooks make_operators_hooks();
    // A function that runs `operation` of the planner on the decision thread.
    template <class Operation>
    auto plan_operation(Operation operation) {
        return [this, operation](operators_hooks::operator_account account,
                                 std::string plan_id, auto done) {
            loop_.post([this, operation, account = std::move(account),
                        plan_id = std::move(plan_id), done = std::move(done)] {
                std::invoke(operation, control_.planner(), account, plan_id,
                            done);
            });
        };
    }
    std::string address_of(base::backend_server_id id) const;
    void on_alarm(base::service_id service,
                  const dispatch::fairness_event& event);
    std::string not_ready_cause();
    std::string metrics_text();
    nlohmann::json status();
    nlohmann::json dump();

    settings::daemon_settings settings_;
    logging::logger& log_;
    std::uint64_t incarnation_ = new_incarnation();
    base::clock clock_ = base::monotonic_clock();
    decision_loop loop_;
    configuration::snapshot_holder configuration_;
    std::unique_ptr<backend_client::client> client_;
    // Below: only on the decision thread.
    configuration::snapshot_pointer current_;
    peer_link peers_;
    fleet fleet_;
    control_plane control_;
    claim_link claim_link_;
    calls::call_manager manager_;
    daemon_metrics metrics_;
    std::int64_t alarms_ = 0;  // Fairness alarms that last.
    std::function<void()> drained_;
    // Thread-safe.
    callers_api callers_;
    operators_api operators_;
    std::unique_ptr<http_server::server> callers_server_;
    std::unique_ptr<http_server::server> operators_server_;
    std::atomic<bool> draining_ = false;
};

node::implementation::implementation(const settings::daemon_settings& settings,
                                     logging::logger& log)
    : settings_(settings),
      log_(log),
      peers_(loop_.context(), settings, incarnation_, clock_, log,
             make_peer_hooks()),
      fleet_(settings, incarnation_, clock_, make_fleet_hooks()),
      control_(settings, incarnation_, clock_, make_control_hooks()),
      claim_link_(
          control_.claims(),
          [this](std::function<void()> task) { loop_.post(std::move(task)); }),
      manager_(manager_options_of(settings), clock_, claim_link_.hooks(),
               schedule_hooks(), transfer_hooks()),
      callers_(
          configuration_,
          settings.host.name + "-" + std::to_string(incarnation_) + "-",
          {.admit =
               [this](std::uint64_t id, std::string request_id,
                      calls::routed_call call, auto writer) {
                   loop_.post([this, id, request_id = std::move(request_id),
                               call = std::move(call),
                               writer = std::move(writer)]() mutable {
                       admit(id, std::move(request_id), std::move(call),
                             std::move(writer));
                   });
               }}),
      operators_(configuration_, make_operators_hooks()) {}

node::implementation::~implementation() {
    // Listeners first, so that nothing new arrives; then the decision thread,
    // so that late events of transfers are dropped; the client last.
    callers_server_.reset();
    operators_server_.reset();
    loop_.stop();
    client_.reset();
}

absl::Status node::implementation::start() {
    if (auto status = check_initial_configuration(settings_); !status.ok()) {
        return status;
    }
    auto client = backend_client::client::start();
    if (!client.ok()) {
        return client.status();
    }
    client_ = *std::move(client);
    loop_.every(decision_tick, [this] { fleet_.tick(); });
    loop_.every(progress_tick, [this] { manager_.tick(); });
    loop_.every(drain_check, [this] { check_drained(); });
    loop_.every(control_tick, [this] { control_.tick(); });
    loop_.every(membership_tick, [this] { peers_.tick(); });
    loop_.every(settings_.platform.host_list_interval,
                [this] { poll_host_list(); });
    if (auto status = peers_.listen(); !status.ok()) {
        return status;
    }
    loop_.post([this] {
        peers_.join();
        on_members_changed();
        control_.bootstrap();
    });
    loop_.start();
    return start_listeners();
}

void node::implementation::accept_configuration(
    const configuration::snapshot_pointer& next) {
    if (!configuration_.accept(next)) {
        return;
    }
    current_ = next;
    peers_.set_configuration_version(next->version());
    fleet_.on_configuration(next);
    log_.info("configuration in force",
              {logging::field("version", next->version())});
}

absl::Status node::implementation::start_listeners() {
    http_server::options options =
        server_options_of(settings_, settings_.listeners.callers);
    options.make_rejection = make_rejection;
    auto server = http_server::server::start(
        options, [this](http_server::request request, auto writer) {
            callers_.handle(std::move(request), std::move(writer));
        });
    if (!server.ok()) {
        return server.status();
    }
    callers_server_ = *std::move(server);

    options = server_options_of(settings_, settings_.listeners.operators);
    options.threads = operator_threads;
    options.max_body_bytes = operator_body_bytes;
    server = http_server::server::start(
        options,
        [this](const http_server::request& request, const auto& writer) {
            operators_.handle(request, writer);
        });
    if (!server.ok()) {
        return server.status();
    }
    operators_server_ = *std::move(server);
    return absl::OkStatus();
}

void node::implementation::admit(
    std::uint64_t id, std::string request_id, calls::routed_call call,
    std::shared_ptr<http_server::response_writer> writer) {
    if (manager_.buffered_bytes() + call.body.size() >
        settings_.limits.buffered_bytes) {
        calls::respond_refusal(
            *writer,
            {base::refusal_code::backlog_full, base::call_outcome::not_run,
             "this host holds as many request bodies as it may", busy_retry},
            request_id);
        return;
    }
    manager_.admit(id, std::move(request_id), std::move(call),
                   std::move(writer));
}

peer_hooks node::implementation::make_peer_hooks() {
    return {
        .on_message =
            [this](const protocol::message& received) { on_message(received); },
        .on_change = [this] { on_members_changed(); },
        .on_dead =
            [this](const base::host_id& host) {
                control_.sync().on_peer_gone(host);
            },
        .on_version =
            [this](const base::host_id& host, std::uint64_t version) {
                control_.sync().on_peer_version(host, version);
            },
    };
}

void node::implementation::on_message(const protocol::message& received) {
    const auto visit = [&](const auto& content) {
        if constexpr (requires {
                          control_.on_message(received.from.host, content);
                      }) {
            control_.on_message(received.from.host, content);
        } else {
            fleet_.on_message(received);
        }
    };
    std::visit(visit, received.content);
}

void node::implementation::send(const base::host_id& host,
                                protocol::body content) {
    // The transport hands a message to this host back at once. It is posted,
    // so that no deciding object is entered from within its own send hook.
    if (host == settings_.host.name) {
        loop_.post([this, content = std::move(content)]() mutable {
            peers_.send(settings_.host.name, std::move(content));
        });
        return;
    }
    peers_.send(host, std::move(content));
}

void node::implementation::on_members_changed() {
    fleet_.on_hosts(peers_.hosts());
    control_.sync().set_polling(peers_.is_poller());
}

void node::implementation::poll_host_list() {
    control_.host_list().read(
        [this](const absl::StatusOr<std::vector<platform::listed_host>>& read) {
            if (!read.ok()) {
                return;  // Counted by the platform client; the list lags
                         // anyway.
            }
            std::vector<membership::listed_peer> listed;
            std::ranges::transform(
                *read, std::back_inserter(listed),
                [](const platform::listed_host& host) {
                    return membership::listed_peer{
                        {host.name, host.address},
                        host.state == platform::listed_state::leaving};
                });
            peers_.merge_host_list(listed);
            fleet_.on_host_list(*read);
        });
}

fleet_hooks node::implementation::make_fleet_hooks() {
    return {
        .start =
            [this](dispatch::call_id id, base::backend_server_id server) {
                manager_.start(id, server);
            },
        .refuse = [this](
                      dispatch::call_id id,
                      const base::refusal& why) { manager_.refuse(id, why); },
        .alarm =
            [this](base::service_id service,
                   const dispatch::fairness_event& event) {
                on_alarm(service, event);
            },
        .send = [this](
                    const base::host_id& host,
                    protocol::body content) { send(host, std::move(content)); },
        .broadcast =
            [this](const protocol::body& content) {
                peers_.broadcast(content);
            },
    };
}

void node::implementation::on_alarm(base::service_id service,
                                    const dispatch::fairness_event& event) {
    const bool begins = event.begins;
    alarms_ += begins ? 1 : -1;
    log_.write(begins ? logging::level::warning : logging::level::info,
               begins ? "fairness alarm" : "fairness alarm cleared",
               {logging::field("service", service),
                logging::field("organisation", event.organisation),
                logging::field("cause", dispatch::to_string(event.cause)),
                logging::field("behind_s", event.behind),
                logging::field("ahead", event.ahead)});
}

calls::schedule_hooks node::implementation::schedule_hooks() {
    return {
        .submit =
            [this](const dispatch::waiting_call& call) {
                return fleet_.entry().submit(call);
            },
        .cancel =
            [this](dispatch::call_id id) { return fleet_.entry().cancel(id); },
        .progress = [this](dispatch::call_id id,
                           double cost) { fleet_.entry().progress(id, cost); },
        .finished =
            [this](dispatch::call_id id, const dispatch::finished_call& end) {
                fleet_.entry().finished(id, end);
            },
        .returned = [this](
                        dispatch::call_id id,
                        bool started) { fleet_.entry().returned(id, started); },
        .measured =
            [this](base::service_id service, base::duration first_byte,
                   base::duration total) {
                metrics_.record(service, first_byte, total);
            },
        .sent =
            [this](base::organisation_id organisation,
                   base::service_id service) {
                fleet_.retries().call_sent(organisation, service);
            },
        .take_retry =
            [this](base::organisation_id organisation,
                   base::service_id service) {
                return fleet_.retries().try_retry(organisation, service);
            },
    };
}

calls::transfer_hooks node::implementation::transfer_hooks() {
    return {
        .send =
            [this](backend_client::backend_request request,
                   backend_client::backend_events events) {
                return client_->send(std::move(request), std::move(events));
            },
        .cancel = [this](backend_client::handle id) { client_->cancel(id); },
        .pause = [this](backend_client::handle id) { client_->pause(id); },
        .resume = [this](backend_client::handle id) { client_->resume(id); },
        .address_of =
            [this](base::backend_server_id id) { return address_of(id); },
        .post =
            [this](std::function<void()> task) { loop_.post(std::move(task)); },
    };
}

control_hooks node::implementation::make_control_hooks() {
    return {
        .send = [this](
                    const base::host_id& host,
                    protocol::body content) { send(host, std::move(content)); },
        .broadcast =
            [this](const protocol::body& content) {
                peers_.broadcast(content);
            },
        .adopted =
            [this](const configuration::snapshot_pointer& next) {
                accept_configuration(next);
            },
        .post =
            [this](std::function<void()> task) { loop_.post(std::move(task)); },
        .is_dead =
            [this](const base::host_id& host, std::uint64_t incarnation) {
                return peers_.is_dead(host, incarnation);
            },
    };
}

std::string node::implementation::address_of(base::backend_server_id id) const {
    const auto* server = current_ ? current_->find(id) : nullptr;
    return server == nullptr ? std::string() : server->address;
}

operators_hooks node::implementation::make_operators_hooks() {
    return {
        .not_ready_cause = [this] { return not_ready_cause(); },
        .metrics_text = [this] { return metrics_text(); },
        .status = [this] { return status(); },
        .dump = [this] { return dump(); },
        .drain = [this] { drain([] {}); },
        .propose =
            [this](operators_hooks::operator_account account,
                   std::string intent, planning::planner::plan_callback done) {
                loop_.post([this, account = std::move(account),
                            intent = std::move(intent),
                            done = std::move(done)] {
                    control_.planner().propose(account, intent, done);
                });
            },
        .get_plan = plan_operation(&planning::planner::get),
        .confirm = plan_operation(&planning::planner::confirm),
        .drop = plan_operation(&planning::planner::drop),
    };
}

std::string node::implementation::not_ready_cause() {
    if (draining_.load()) {
        return "draining";
    }
    if (configuration_.version() > 0) {
        return "";
    }
    std::string cause;
    loop_.run_and_wait([&] { cause = control_.sync().explain(); });
    return "no configuration; " + cause;
}

std::string node::implementation::metrics_text() {
    loop_.run_and_wait([this] {
        metrics_.refresh({.calls = manager_,
                          .entry = fleet_.entry(),
                          .claims = control_.claims(),
                          .sync = control_.sync(),
                          .peers = peers_.counts(),
                          .log = log_,
                          .refused_early = callers_.refused(),
                          .live_hosts = peers_.hosts().size(),
                          .fairness_alarms = alarms_});
    });
    return metrics_.text();
}

nlohmann::json node::implementation::status() {
    nlohmann::json result;
    result["host"] = settings_.host.name;
    result["failure_domain"] = settings_.host.failure_domain;
    result["incarnation"] = incarnation_;
    result["draining"] = draining_.load();
    result["configuration_version"] = configuration_.version();
    return result;
}

nlohmann::json node::implementation::dump() {
    nlohmann::json result = status();
    loop_.run_and_wait([&] {
        result["calls"] = manager_.dump();
        result["dispatch"] = fleet_.dump();
        result["control"] = control_.dump();
        result["members"] = peers_.dump();
    });
    return result;
}

void node::implementation::drain(std::function<void()> drained) {
    draining_.store(true);
    loop_.post([this, drained = std::move(drained)] {
        peers_.leave();
        loop_.after(settings_.drain.not_ready_delay, [this, drained] {
            callers_.set_draining();
            drained_ = drained;
        });
    });
    log_.info("draining", {});
}

void node::implementation::check_drained() {
    if (drained_ && manager_.active() == 0) {
        std::exchange(drained_, nullptr)();
    }
}

std::size_t node::implementation::active_calls() {
    std::size_t count = 0;
    loop_.run_and_wait([&] { count = manager_.active(); });
    return count;
}

node::node(std::unique_ptr<implementation> self) : self_(std::move(self)) {}

node::~node() = default;

absl::StatusOr<std::unique_ptr<node>> node::start(
    const settings::daemon_settings& settings, logging::logger& log) {
    auto self = std::make_unique<implementation>(settings, log);
    if (auto status = self->start(); !status.ok()) {
        return status;
    }
    return std::unique_ptr<node>(new node(std::move(self)));
}

void node::drain(std::function<void()> drained) {
    self_->drain(std::move(drained));
}

std::size_t node::active_calls() const {
    return self_->active_calls();
}

}  // namespace bronzehub::daemon
