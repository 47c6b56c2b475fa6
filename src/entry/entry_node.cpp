#include "entry/entry_node.hpp"

#include <unistd.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/ip_endpoint.hpp"
#include "entry/refusal.hpp"
#include "platform/message_codec.hpp"
#include "platform/wire_names.hpp"

namespace bronzehub::entry {
namespace {

using asio::ip::udp;
using logging::field;
using std::chrono::milliseconds;

constexpr milliseconds log_flush_interval{50};
constexpr milliseconds maintenance_interval{500};
constexpr milliseconds drain_check_interval{50};
constexpr milliseconds settings_check_interval{2000};
constexpr milliseconds summary_interval{10000};
// Shares of organisations are evaluated once a second.
constexpr milliseconds refusal_log_interval{1000};
// Subtracted from the bounds of revocations and evacuations, because the store
// may delay the notification of a change and the request itself takes time to
// arrive.
constexpr milliseconds notification_margin{1500};

constexpr double percent = 100;
constexpr double bytes_per_mib = 1024 * 1024;
// What the kernel may buffer for a backend server that is not read because its
// caller reads slowly.
constexpr int backend_receive_buffer_bytes = 128 * 1024;
// Descriptors for backend servers, the store, other hosts and files. A call
// needs a connection to a backend server besides that of its caller, but most
// connections of callers are idle.
constexpr double descriptor_reserve_ratio = 1.0 / 8;
constexpr double min_descriptor_reserve = 16;
constexpr double max_descriptor_reserve = 512;
// A caller that reads nothing for so long is cut off.
constexpr milliseconds slow_reader_timeout{15000};

constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int unavailable_status = 503;

logging::level parse_log_level(std::string_view name) {
    using logging::level;
    for (const level value : {level::debug, level::info, level::warning}) {
        if (name == logging::to_string(value)) {
            return value;
        }
    }
    return level::error;
}

std::uint64_t random_incarnation() {
    std::random_device random;
    return (std::uint64_t{random()} << 20U) ^ random();
}

base::duration from_ms(double value) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(value));
}

// Age of the data from the store from which acting on it would exceed a bound.
base::duration max_data_age(const entry_bound_settings& bounds) {
    const base::duration evacuation =
        bounds.evacuation_ms > 0
            ? from_ms(bounds.evacuation_ms) - notification_margin
            : base::duration::max();
    return std::min({from_ms(bounds.drain_ms), from_ms(bounds.configuration_ms),
                     from_ms(bounds.revocation_ms) - notification_margin,
                     evacuation});
}

bool parse_udp_endpoint(const std::string& text, udp::endpoint& result) {
    const auto parsed = base::parse_ip_endpoint(text);
    asio::error_code error;
    const auto ip =
        asio::ip::make_address(parsed ? parsed->address : "", error);
    if (error) {
        return false;
    }
    result = udp::endpoint(ip, parsed->port);
    return true;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns the resident bytes of this process; 0 if they can't be read.
std::size_t resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(getpagesize());
}

// Hooks of a listener for the platform or for operators, which has the default
// limits and is not subject to admission.
net::caller_hooks make_internal_hooks(
    std::function<void(const std::shared_ptr<net::caller_connection>&,
                       net::caller_request)>
        on_request) {
    net::caller_hooks hooks;
    hooks.on_request = std::move(on_request);
    hooks.on_disconnected = [](net::caller_connection&) {};
    hooks.limits = [] { return net::listener_limits{}; };
    hooks.closes_connections = [] { return false; };
    return hooks;
}

}  // namespace

entry_node::entry_node(entry_settings settings, std::string settings_path)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_text_(read_file(settings_path_)),
      log_writer_(STDOUT_FILENO),
      log_({parse_log_level(settings_.log.level), {}}, log_writer_.sink()),
      incarnation_(random_incarnation()),
      servers_({}, loop_.clock()),
      memory_(memory_budget::limits_for(static_cast<std::size_t>(
                  settings_.limits.memory_mb * bytes_per_mib)),
              loop_.clock()),
      hosts_({settings_.host.name, settings_.listeners.peers,
              settings_.host.failure_domain},
             loop_.clock()),
      engines_(servers_),
      connection_pool_(loop_,
                       memory_.is_limited() ? backend_receive_buffer_bytes : 0),
      backend_status_(loop_.clock()),
      warmth_(loop_.clock()),
      retry_window_({settings_.bounds.retry_ratio, settings_.bounds.retry_extra,
                     from_ms(settings_.bounds.retry_window_ms)},
                    loop_.clock()),
      segment_demand_(loop_.clock()),
      reachability_(settings_.host.failure_domain, loop_.clock()),
      liveness_probe_(loop_, servers_),
      share_meter_(loop_.clock()),
      hedging_(settings_.hedging.extra_work_percent / percent, loop_.clock()),
      fleet_shares_(loop_.clock()),
      call_reporter_(log_, metrics_, loop_.clock()),
      host_load_(loop_.clock()),
      admission_(host_load_, fleet_shares_, loop_.clock()),
      read_pacer_(loop_.clock()),
      peer_socket_(loop_.context()),
      schedule_(
          hosts_, fleet_shares_, loop_.clock(),
          {[this](base::duration delay, std::function<void()> run) {
               return loop_.run_after(delay, std::move(run));
           },
           [this](base::timer_id id) { loop_.cancel(id); }},
          [this](const std::string& address, std::string_view bytes) {
              send_datagram(address, bytes);
          },
          incarnation_),
      share_exchange_(
          hosts_, share_meter_, fleet_shares_, loop_.clock(),
          [this](const std::string& address, std::string_view bytes) {
              send_datagram(address, bytes);
          },
          incarnation_),
      fleet_watch_(
          loop_, settings_.store.address, max_data_age(settings_.bounds),
          servers_, hosts_,
          [this](const std::string& address, std::string_view bytes) {
              send_datagram(address, bytes);
          },
          incarnation_, log_,
          [this](std::string_view id) { backend_status_.remove(id); },
          [this](const evacuation::set_change& change) {
              return on_evacuation_change(change);
          }),
      quarantine_store_(loop_, settings_.store.address, settings_.host.name,
                        log_),
      quarantine_(hosts_, loop_.clock(), incarnation_, make_quarantine_hooks()),
      call_environment_{
          loop_,
          fleet_watch_,
          servers_,
          connection_pool_,
          backend_status_,
          warmth_,
          schedule_,
          retry_window_,
          reachability_,
          liveness_probe_,
          quarantine_,
          share_meter_,
          completion_estimate_,
          output_usage_,
          call_reporter_,
          settings_.host.failure_domain,
          from_ms(settings_.bounds.revocation_ms) - notification_margin,
          [this] {
              return draining_ &&
                     loop_.now() - drain_started_at_ > serve_after_stop;
          },
          [this] {
              return draining_ ? std::optional(time_to_stop()) : std::nullopt;
          },
          [this](const fleet_state::backend_server& server) {
              if (fleet_watch_.on_server_leaving(server)) {
                  connection_pool_.forget(instance_name(server));
              }
          },
          host_load_,
          admission_,
          read_pacer_,
          from_ms(settings_.bounds.delivery_ms),
          {servers_, engines_, backend_status_, schedule_, segment_demand_,
           reachability_, host_load_, fleet_shares_,
           settings_.host.failure_domain},
          hedging_},
      caller_listener_(
          loop_, memory_,
          {[this](const std::shared_ptr<net::caller_connection>& caller,
                  net::caller_request request) {
               on_request(caller, std::move(request));
           },
           [this](net::caller_connection& caller) {
               on_caller_disconnected(caller);
           },
           nullptr,
           [this] {
               net::listener_limits limits;
               if (const auto& configuration = fleet_watch_.configuration()) {
                   const auto& configured = configuration->limits();
                   limits = {configured.header_bytes, configured.body_bytes,
                             configured.header_timeout,
                             configured.idle_timeout};
               }
               return limits;
           },
           [this] { return closes_connections(); },
           [this] { return !admission_.should_refuse_next(); },
           [this](const net::message_head& head) {
               return make_early_refusal(head);
           },
           [this](const net::message_head& head) {
               return make_memory_refusal(head);
           }}),
      readiness_listener_(
          loop_, memory_,
          make_internal_hooks([this](const auto& caller, const auto&) {
              on_readiness_request(caller);
          })),
      operator_listener_(
          loop_, memory_,
          make_internal_hooks([this](const auto& caller, const auto& request) {
              on_operator_request(caller, request);
          })),
      signals_(loop_.context(), SIGTERM, SIGINT, SIGHUP) {
    schedule_.set_cold_terms(
        [this](std::string_view engine) { return find_cold_terms(engine); });
    fleet_watch_.on_listing_applied(
        [this](std::span<const fleet_state::backend_server> listed,
               base::time_point read_at) {
            warmth_.on_listing(listed, read_at);
        });
}

std::optional<cold_start::engine_terms> entry_node::find_cold_terms(
    std::string_view engine) const {
    const auto [id, started_at_ms] = parse_instance_name(engine);
    auto terms = cold_start::find_terms(
        fleet_watch_.configuration().get(), warmth_,
        {settings_.bounds.cold_overrun, settings_.bounds.cold_allowance}, id,
        started_at_ms);
    // A host that knows that the domain was taken back may ask before this one
    // has learnt it.
    if (terms && fleet_watch_.evacuated_domains().domains().contains(
                     terms->failure_domain)) {
        terms->is_cold = true;
    }
    return terms;
}

std::size_t entry_node::on_evacuation_change(
    const evacuation::set_change& change) {
    // The servers may have restarted while the domain was out of use.
    std::ranges::for_each(change.removed, [this](const std::string& domain) {
        warmth_.on_domain_returned(domain);
    });
    if (change.added.empty()) {
        return 0;
    }
    const std::size_t moved =
        schedule_.withdraw_waiting(fleet_watch_.evacuated_domains().domains());
    evacuation_moves_ += moved;
    return moved;
}

bool entry_node::is_cold(const fleet_state::backend_server& server) const {
    const auto terms = find_cold_terms(instance_name(server));
    return terms && terms->is_cold;
}

std::size_t entry_node::count_cold_servers() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        servers_.all(),
        [this](const auto& entry) { return is_cold(entry.second); }));
}

quarantine_hooks entry_node::make_quarantine_hooks() {
    quarantine_hooks hooks;
    hooks.send = [this](const std::string& address, std::string_view bytes) {
        send_datagram(address, bytes);
    };
    hooks.read_store = [this] {
        quarantine_store_.read([this](const auto& remaining) {
            quarantine_.on_store_read(remaining);
        });
    };
    hooks.store = [this](overload::segment_id segment,
                         base::duration lifetime) {
        quarantine_store_.write(segment, lifetime, [this, segment] {
            quarantine_.on_stored(segment);
        });
    };
    hooks.on_quarantined = [this](overload::segment_id segment,
                                  std::string_view source) {
        log_.warning("prompt segment quarantined",
                     {field("segment", encode_segment_key(segment)),
                      field("source", source)});
    };
    return hooks;
}

absl::Status entry_node::start() {
    log_.info("starting",
              {field("host", settings_.host.name),
               field("failure_domain", settings_.host.failure_domain),
               field("incarnation", incarnation_),
               field("store", settings_.store.address)});
    for (const auto& status :
         {open_peer_socket(),
          caller_listener_.listen(settings_.listeners.callers),
          readiness_listener_.listen(settings_.listeners.readiness),
          operator_listener_.listen(settings_.listeners.operators)}) {
        if (!status.ok()) {
            log_.error("start failed", {field("cause", status)});
            log_writer_.flush();
            return status;
        }
    }
    set_descriptor_limits();
    listen_for_signals();
    fleet_watch_.start();
    loop_.run_every(log_flush_interval, [this] { log_writer_.flush(); });
    loop_.run_every(overload::host_load::sample_interval, [this] { tick(); });
    loop_.run_every(schedule_link::inventory_interval,
                    [this] { schedule_.send_inventory(); });
    loop_.run_every(share_exchange::interval,
                    [this] { share_exchange_.tick(); });
    loop_.run_every(maintenance_interval, [this] { run_maintenance(); });
    loop_.run_every(refusal_log_interval,
                    [this] { log_refused_organisations(); });
    loop_.run_every(summary_interval, [this] { log_summary(); });
    loop_.run_every(settings_check_interval, [this] { reload_settings(); });
    return absl::OkStatus();
}

void entry_node::set_descriptor_limits() {
    const double descriptors = settings_.limits.descriptors;
    const double reserve =
        std::clamp(descriptors * descriptor_reserve_ratio,
                   min_descriptor_reserve, max_descriptor_reserve);
    caller_listener_.set_max_descriptors(
        static_cast<int>(descriptors - reserve));
    // The platform and operators must get through while callers occupy theirs.
    const int max_internal = static_cast<int>(descriptors - reserve / 2);
    readiness_listener_.set_max_descriptors(max_internal);
    operator_listener_.set_max_descriptors(max_internal);
}

int entry_node::run() {
    loop_.run();
    log_.info("stopped", {field("calls_left", calls_.size())});
    log_writer_.flush();
    return 0;
}

void entry_node::listen_for_signals() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            log_.info("reload requested", {});
            reload_settings();
        } else if (!draining_) {
            begin_drain();
        }
        listen_for_signals();
    });
}

void entry_node::reload_settings() {
    std::string text = read_file(settings_path_);
    if (text.empty() || text == settings_text_) {
        return;
    }
    settings_text_ = std::move(text);
    const auto loaded = parse_entry_settings(settings_text_);
    if (!loaded.ok()) {
        log_.error("settings unusable; the old ones stay in force",
                   {field("cause", loaded.status())});
        return;
    }
    const bool needs_restart =
        loaded->listeners.callers != settings_.listeners.callers ||
        loaded->listeners.peers != settings_.listeners.peers ||
        loaded->store.address != settings_.store.address ||
        loaded->host.name != settings_.host.name;
    settings_.bounds = loaded->bounds;
    settings_.hedging = loaded->hedging;
    hedging_.set_extra_work(settings_.hedging.extra_work_percent / percent);
    call_environment_.max_key_age =
        from_ms(settings_.bounds.revocation_ms) - notification_margin;
    call_environment_.max_delivery_delay =
        from_ms(settings_.bounds.delivery_ms);
    log_.info("settings reloaded", {field("needs_restart", needs_restart)});
}

void entry_node::begin_drain() {
    draining_ = true;
    drain_started_at_ = loop_.now();
    fleet_watch_.stop();
    log_.info("draining",
              {field("calls", calls_.size()),
               field("connections", caller_listener_.connection_count())});
    loop_.run_after(serve_after_stop,
                    [this] { caller_listener_.close_idle_connections(); });
    loop_.run_every(drain_check_interval, [this] { check_drained(); });
}

base::duration entry_node::time_to_stop() const {
    return drain_started_at_ + from_ms(settings_.bounds.grace_period_ms) -
           end_reserve - loop_.now();
}

void entry_node::check_drained() {
    const base::duration time_since_stop = loop_.now() - drain_started_at_;
    const base::duration grace_period =
        from_ms(settings_.bounds.grace_period_ms);
    if (time_to_stop() <= base::duration(0) &&
        !std::exchange(calls_ended_, true)) {
        // Callers that connect now would get no response.
        caller_listener_.stop();
        std::vector<std::shared_ptr<call>> left;
        std::ranges::transform(calls_, std::back_inserter(left),
                               [](const auto& entry) { return entry.second; });
        std::ranges::for_each(left, [](const auto& each) { each->on_stop(); });
    }
    const bool done = time_since_stop > serve_after_stop && calls_.empty() &&
                      !caller_listener_.has_unsent_responses();
    if (done || time_since_stop > grace_period - exit_reserve) {
        stop();
    }
}

void entry_node::stop() {
    // A caller must not take a truncated response for a complete one.
    caller_listener_.abort_responses();
    // Until the process is gone, which may take a while, the kernel accepts
    // connections that nobody would read.
    caller_listener_.close_idle_connections();
    caller_listener_.stop();
    readiness_listener_.stop();
    operator_listener_.stop();
    loop_.stop();
}

absl::Status entry_node::open_peer_socket() {
    udp::endpoint endpoint;
    asio::error_code error;
    if (!parse_udp_endpoint(settings_.listeners.peers, endpoint)) {
        return absl::InvalidArgumentError(absl::StrCat(
            "peers: found ", settings_.listeners.peers, ", expected IP:port"));
    }
    std::ignore = peer_socket_.open(endpoint.protocol(), error);
    if (!error) {
        std::ignore = peer_socket_.bind(endpoint, error);
    }
    if (!error) {
        std::ignore = peer_socket_.non_blocking(true, error);
    }
    if (error) {
        return absl::UnavailableError(absl::StrCat("cannot receive on ",
                                                   settings_.listeners.peers,
                                                   ": ", error.message()));
    }
    receive_datagrams();
    return absl::OkStatus();
}

void entry_node::receive_datagrams() {
    peer_socket_.async_wait(
        udp::socket::wait_read, [this](const asio::error_code& error) {
            if (error) {
                return;
            }
            for (;;) {
                udp::endpoint sender;
                asio::error_code failed;
                const std::size_t size = peer_socket_.receive_from(
                    asio::buffer(datagram_buffer_), sender, 0, failed);
                if (failed) {
                    break;
                }
                on_datagram(absl::StrCat(sender.address().to_string(), ":",
                                         sender.port()),
                            std::string_view(datagram_buffer_.data(), size));
            }
            receive_datagrams();
        });
}

void entry_node::on_datagram(const std::string& sender_address,
                             std::string_view bytes) {
    const auto message = decode_message(bytes);
    if (!message) {
        ++malformed_datagrams_;
        return;
    }
    hosts_.clear_suspicion(message->host, message->incarnation);
    schedule_.on_message(sender_address, *message);
    share_exchange_.on_message(sender_address, *message);
    fleet_watch_.on_message(sender_address, *message);
    quarantine_.on_message(sender_address, *message);
}

void entry_node::send_datagram(const std::string& address,
                               std::string_view bytes) {
    udp::endpoint endpoint;
    if (!parse_udp_endpoint(address, endpoint)) {
        ++datagram_send_failures_;
        return;
    }
    asio::error_code error;
    peer_socket_.send_to(asio::buffer(bytes.data(), bytes.size()), endpoint, 0,
                         error);
    // Not retried here: the component that sent the message repeats it after a
    // timeout.
    datagram_send_failures_ += error ? 1 : 0;
}

void entry_node::on_request(
    const std::shared_ptr<net::caller_connection>& caller,
    net::caller_request request) {
    auto new_call = std::make_shared<call>(
        call_environment_, caller, std::move(request),
        [this, key = caller.get()](call*) { calls_.erase(key); });
    calls_[caller.get()] = new_call;
    new_call->start();
}

std::optional<std::string> entry_node::make_early_refusal(
    const net::message_head& head) {
    const auto request = platform_wire::describe_request(head.headers);
    if (const auto& configuration = fleet_watch_.configuration()) {
        if (admission_.try_exempt(
                organisation_of(call_environment_, *configuration, request)
                    .value_or(""))) {
            return std::nullopt;
        }
        count_host_refusal(call_environment_, *configuration, request);
    }
    return encode_early_refusal(head, host_overloaded, overloaded_retry_after);
}

std::string entry_node::make_memory_refusal(const net::message_head& head) {
    if (const auto& configuration = fleet_watch_.configuration()) {
        count_host_refusal(call_environment_, *configuration,
                           platform_wire::describe_request(head.headers));
    }
    return encode_early_refusal(head, "no memory for the request",
                                memory_.limits().stall_time);
}

std::string entry_node::encode_early_refusal(const net::message_head& head,
                                             std::string_view cause,
                                             base::duration retry_after) {
    call_report report;
    report.request_id = platform_wire::describe_request(head.headers).id;
    const refusal response =
        make_refusal(report.request_id, cause, retry_after);
    report.outcome = call_outcome::refused;
    report.cause = cause;
    report.status = response.status;
    report.retry_after_ms = response.retry_after.count();
    call_reporter_.on_call(report);
    std::string bytes = net::encode_response_head(
        response.status, response.headers,
        absl::StrCat("Content-Length: ", response.body.size(), "\r\n"), false);
    if (head.method != "HEAD") {
        bytes.append(response.body);
    }
    return bytes;
}

void entry_node::on_caller_disconnected(net::caller_connection& caller) {
    const auto found = calls_.find(&caller);
    if (found != calls_.end()) {
        const auto disconnected_call = found->second;
        disconnected_call->on_caller_disconnected();
    }
}

void entry_node::tick() {
    const base::time_point now = loop_.now();
    if (last_tick_ != base::time_point{}) {
        const bool was_ready = host_load_.is_ready();
        host_load_.on_sample(now - last_tick_ -
                             overload::host_load::sample_interval);
        if (was_ready != host_load_.is_ready()) {
            log_.warning(was_ready ? "host overloaded" : "host has time again",
                         {field("lateness_ms", host_load_.lateness()),
                          field("refused_share", host_load_.refusal_ratio()),
                          field("calls", calls_.size())});
        }
    }
    last_tick_ = now;
    schedule_.tick();
    quarantine_.tick();
    read_pacer_.tick();
}

bool entry_node::closes_connections() const {
    return draining_ || !host_load_.is_ready() ||
           static_cast<double>(caller_listener_.connection_count()) >
               keep_alive_descriptor_ratio * settings_.limits.descriptors;
}

bool entry_node::is_ready() const {
    return !draining_ && fleet_watch_.is_ready() && quarantine_.is_complete() &&
           host_load_.is_ready();
}

void entry_node::on_readiness_request(
    const std::shared_ptr<net::caller_connection>& caller) {
    caller->respond(is_ready() ? ok_status : unavailable_status, {}, "");
}

void entry_node::on_operator_request(
    const std::shared_ptr<net::caller_connection>& caller,
    const net::caller_request& request) {
    if (request.target == "/metrics") {
        update_metrics();
        caller->respond(ok_status,
                        {{"Content-Type", "text/plain; version=0.0.4"}},
                        metrics_.to_prometheus_text());
    } else if (request.target == "/dump") {
        caller->respond(ok_status, {{"Content-Type", "application/json"}},
                        dump_state());
    } else {
        caller->respond(not_found_status, {}, "");
    }
}

void entry_node::run_maintenance() {
    connection_pool_.reap();
    // Forgets the connections that have closed.
    caller_listener_.has_unsent_responses();
    if (memory_.is_limited()) {
        memory_.on_resident_bytes(resident_bytes());
        caller_listener_.cut_off_slow_readers(slow_reader_timeout);
    }
    segment_demand_.prune();
    share_meter_.prune();
    admission_.prune();
    retry_window_.set_hosts(hosts_.host_count());
    if (is_ready() != was_ready_) {
        was_ready_ = is_ready();
        log_.info("readiness changed", {field("ready", was_ready_)});
    }
    warmth_.remove_missing(
        [this](std::string_view id) { return servers_.all().contains(id); });
    log_cold_servers();
    schedule_.remove_unknown_engines([this](std::string_view engine) {
        const std::string_view id = engine.substr(0, engine.rfind('/'));
        return servers_.find_available(id) != nullptr;
    });
}

}  // namespace bronzehub::entry
