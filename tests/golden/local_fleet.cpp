#include "local_fleet.hpp"

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "../support/raw_socket.hpp"
#include "base/hash.hpp"
#include "engine.hpp"
#include "http_exchange.hpp"
#include "plain.hpp"
#include "platform_role.hpp"
#include "settings/settings.hpp"

namespace bronzehub::golden {
namespace {

using json = nlohmann::json;

constexpr const char* loopback_ip = "127.0.0.1";
constexpr const char* failure_domain = "domain-a";
// Above the service's limit in the configuration, so that a session can reach
// the refusals of both.
constexpr std::uint64_t body_limit = 2048;

std::string address(std::uint16_t port) {
    return std::string(loopback_ip) + ":" + std::to_string(port);
}

json operator_account(const std::string& name, const json& roles) {
    return {{"name", name},
            {"key_sha256", base::sha256_hex(name + "-key")},
            {"roles", roles}};
}

json organisation(int id, const std::string& name) {
    return {{"id", id},
            {"name", name},
            {"keys",
             {{{"id", "first"}, {"sha256", base::sha256_hex(name + "-key")}}}}};
}

json backend_server(int id, const std::string& name, std::uint16_t port) {
    return {{"id", id},
            {"name", name},
            {"service", id},
            {"address", address(port)},
            {"failure_domain", failure_domain},
            {"initial_slots", 4},
            {"maximum_slots", 8}};
}

settings::daemon_settings make_settings(std::uint16_t platform_port) {
    settings::daemon_settings result = settings::default_settings();
    result.host = {host_name, failure_domain, "loopback"};
    result.peers.shared_key = "0123456789abcdef0123456789abcdef";
    const std::string platform = "http://" + address(platform_port);
    result.platform.table = platform;
    result.platform.object_store = platform;
    result.platform.host_list = platform;
    result.limits.body_bytes = body_limit;
    result.drain.not_ready_delay = std::chrono::milliseconds(0);
    return result;
}

// log4cplus can be initialised once per process only, and every session has a
// logger of its own.
void write_line(logging::level /*severity*/, std::string_view line) {
    std::cerr << std::string(line) + "\n";
}

bool is_ready(std::uint16_t operators_port) {
    return exchange(operators_port, {"GET", "/ready", {}, ""})
        .status.starts_with("200");
}

}  // namespace

standin_server::standin_server(const role_maker& make_role)
    : server_(loopback_ip, 0,
              [this](const standin::request& call,
                     const standin::response_ptr& out) {
                  target_.handle(call, out);
              }),
      target_(make_role(server_.timers()), server_.timers()),
      thread_([this] { server_.run(); }) {}

standin_server::~standin_server() {
    server_.stop();
    thread_.join();
}

local_fleet::local_fleet()
    : platform_([](const auto&) {
          return std::make_unique<standin::platform_role>();
      }),
      engine_([](const auto& after) {
          return std::make_unique<standin::engine>(standin::engine_options{},
                                                   after);
      }),
      plain_([](const auto& after) {
          return std::make_unique<standin::plain>(standin::plain_options{},
                                                  after);
      }),
      ports_{{"platform", platform_.port()},
             {"engine", engine_.port()},
             {"plain", plain_.port()}},
      log_({logging::level::error, {}}, write_line) {
    start_node();
    wait_until("/ready", [this] { return is_ready(ports_.at("operators")); });
}

void local_fleet::start_node() {
    settings::daemon_settings settings = make_settings(platform_.port());
    settings.initial_configuration = initial_configuration();
    {
        // The listeners hold the free ports until all three are known.
        const std::array<test::raw_listener, 3> reserved;
        ports_["callers"] = reserved[0].port();
        ports_["operators"] = reserved[1].port();
        ports_["peers"] = reserved[2].port();
    }
    settings.listeners.callers = address(ports_["callers"]);
    settings.listeners.operators = address(ports_["operators"]);
    settings.listeners.peers = address(ports_["peers"]);
    settings.listeners.peers_advertised = settings.listeners.peers;
    auto started = daemon::node::start(settings, log_);
    if (!started.ok()) {
        throw std::runtime_error(started.status().ToString());
    }
    node_ = *std::move(started);
}

std::string local_fleet::initial_configuration() const {
    const json model{{"id", 1},
                     {"name", "model"},
                     {"kind", "model"},
                     {"path_prefix", "/model"},
                     {"maximum_request_bytes", 1024}};
    const json till{
        {"id", 2},
        {"name", "till"},
        {"kind", "plain"},
        {"path_prefix", "/till"},
        {"costs", {{"per_call", 1}}},
        {"repeatable_calls", {{{"method", "GET"}, {"path", "/prices/*"}}}}};
    json north = organisation(1, "north");
    north["keys"].push_back({{"id", "old"},
                             {"sha256", base::sha256_hex("revoked-key")},
                             {"revoked", true}});
    const json result{
        {"version", 1},
        {"organisations",
         {north, organisation(2, "south"), organisation(3, "west")}},
        {"services", {model, till}},
        {"backend_servers",
         {backend_server(1, "engine", engine_.port()),
          backend_server(2, "plain", plain_.port())}},
        {"operators",
         {operator_account("reader", {"read"}),
          operator_account("chief", {"read", "plan", "confirm"})}}};
    return result.dump();
}

void wait_until(const std::string& what, const std::function<bool()>& is_done) {
    const auto deadline = std::chrono::steady_clock::now() + test::patience;
    while (!is_done()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("gave up waiting for " + what);
        }
    }
}

}  // namespace bronzehub::golden
