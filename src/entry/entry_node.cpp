#include "entry/entry_node.hpp"

#include <unistd.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "entry/refusal.hpp"
#include "platform/message_codec.hpp"
#include "platform/wire_names.hpp"

namespace bronzehub::entry {
namespace {

using asio::ip::udp;
using logging::field;
using std::chrono::milliseconds;

constexpr milliseconds flush_interval{50};
constexpr milliseconds housekeeping_interval{500};
constexpr milliseconds drain_check{50};
constexpr milliseconds settings_check{2000};
constexpr milliseconds summary_interval{10000};
// Shares are judged second by second.
constexpr milliseconds share_lines_interval{1000};
// Organisations whose refusals are logged in each interval.
constexpr std::size_t share_lines = 4;
// Of a figure in a log line that is not known or has no bound.
constexpr double unknown_figure = -1;
// Taken off the revocation bound for the time in which the store may hold a
// change back from its watchers, and for the way of a request.
constexpr milliseconds key_margin{1500};

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

logging::level level_of(std::string_view name) {
    using logging::level;
    for (const level value : {level::debug, level::info, level::warning}) {
        if (name == logging::to_string(value)) {
            return value;
        }
    }
    return level::error;
}

std::uint64_t random_incarnation() {
    std::random_device source;
    return (std::uint64_t{source()} << 20U) ^ source();
}

base::duration from_ms(double value) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(value));
}

bool parse_udp(const std::string& text, udp::endpoint& result) {
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    asio::error_code error;
    if (colon == std::string::npos) {
        return false;
    }
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    const auto parsed = std::from_chars(text.data() + colon + 1,
                                        text.data() + text.size(), port);
    result = udp::endpoint(ip, port);
    return !error && parsed.ec == std::errc();
}

std::string read_text(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

caller_hooks simple_hooks(
    std::function<void(const std::shared_ptr<caller_connection>&,
                       caller_request)>
        on_request) {
    caller_hooks hooks;
    hooks.on_request = std::move(on_request);
    hooks.on_disconnected = [](caller_connection&) {};
    hooks.limits = [] { return listener_limits{}; };
    hooks.closes_connections = [] { return false; };
    return hooks;
}

}  // namespace

entry_node::entry_node(entry_settings settings, std::string settings_path)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_text_(read_text(settings_path_)),
      lines_(STDOUT_FILENO),
      log_({level_of(settings_.log.level), {}}, lines_.sink()),
      incarnation_(random_incarnation()),
      servers_({}, loop_.clock()),
      hosts_({settings_.host.name, settings_.listeners.peers,
              settings_.host.failure_domain},
             loop_.clock()),
      engines_(servers_),
      pool_(loop_),
      status_(loop_.clock()),
      retries_({settings_.bounds.retry_ratio, settings_.bounds.retry_extra,
                from_ms(settings_.bounds.retry_window_ms)},
               loop_.clock()),
      heat_(loop_.clock()),
      reach_(settings_.host.failure_domain, loop_.clock()),
      shares_(loop_.clock()),
      fleet_shares_(loop_.clock()),
      reporter_(log_, figures_, loop_.clock()),
      load_(loop_.clock()),
      admission_(load_, fleet_shares_, loop_.clock()),
      pacer_(loop_.clock()),
      datagrams_(loop_.context()),
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
          hosts_, shares_, fleet_shares_, loop_.clock(),
          [this](const std::string& address, std::string_view bytes) {
              send_datagram(address, bytes);
          },
          incarnation_),
      fleet_(
          loop_, settings_.store.address, servers_, hosts_,
          [this](const std::string& address, std::string_view bytes) {
              send_datagram(address, bytes);
          },
          incarnation_, log_,
          [this](std::string_view id) { status_.remove(id); }),
      environment_{loop_,
                   fleet_,
                   servers_,
                   pool_,
                   status_,
                   schedule_,
                   retries_,
                   reach_,
                   shares_,
                   reporter_,
                   settings_.host.failure_domain,
                   from_ms(settings_.bounds.revocation_ms) - key_margin,
                   [this] {
                       return stopping_ && loop_.now() - stopping_since_ >
                                               serve_on_after_stop;
                   },
                   load_,
                   admission_,
                   pacer_,
                   from_ms(settings_.bounds.delivery_ms),
                   {servers_, engines_, status_, schedule_, heat_, reach_,
                    load_, fleet_shares_, settings_.host.failure_domain}},
      callers_(
          loop_,
          {[this](const std::shared_ptr<caller_connection>& caller,
                  caller_request request) {
               on_request(caller, std::move(request));
           },
           [this](caller_connection& caller) {
               on_caller_disconnected(caller);
           },
           nullptr,
           [this] {
               listener_limits limits;
               if (const auto& configuration = fleet_.configuration()) {
                   const auto& from = configuration->limits();
                   limits = {from.header_bytes, from.body_bytes,
                             from.header_timeout, from.idle_timeout};
               }
               return limits;
           },
           [this] { return closes_connections(); },
           [this] { return !admission_.should_refuse_next(); },
           [this](const message_head& head) { return refuse_early(head); }}),
      readiness_(loop_, simple_hooks([this](const auto& caller, const auto&) {
                     on_ready_request(caller);
                 })),
      operators_(loop_,
                 simple_hooks([this](const auto& caller, const auto& request) {
                     on_operator_request(caller, request);
                 })),
      signals_(loop_.context(), SIGTERM, SIGINT, SIGHUP) {}

absl::Status entry_node::start() {
    log_.info("starting",
              {field("host", settings_.host.name),
               field("failure_domain", settings_.host.failure_domain),
               field("incarnation", incarnation_),
               field("store", settings_.store.address)});
    for (const auto& status :
         {open_datagrams(), callers_.listen(settings_.listeners.callers),
          readiness_.listen(settings_.listeners.readiness),
          operators_.listen(settings_.listeners.operators)}) {
        if (!status.ok()) {
            log_.error("start failed", {field("cause", status)});
            lines_.flush();
            return status;
        }
    }
    listen_for_signals();
    fleet_.start();
    loop_.run_every(flush_interval, [this] { lines_.flush(); });
    loop_.run_every(overload::host_load::sample_interval, [this] { tick(); });
    loop_.run_every(schedule_link::inventory_interval,
                    [this] { schedule_.send_inventory(); });
    loop_.run_every(share_exchange::interval,
                    [this] { share_exchange_.tick(); });
    loop_.run_every(housekeeping_interval, [this] { housekeeping(); });
    loop_.run_every(share_lines_interval, [this] { log_shares(); });
    loop_.run_every(summary_interval, [this] { log_summary(); });
    loop_.run_every(settings_check, [this] { reload(); });
    return absl::OkStatus();
}

int entry_node::run() {
    loop_.run();
    log_.info("stopped", {field("calls_left", calls_.size())});
    lines_.flush();
    return 0;
}

void entry_node::listen_for_signals() {
    signals_.async_wait([this](const asio::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            log_.info("reload requested", {});
            reload();
        } else if (!stopping_) {
            begin_drain();
        }
        listen_for_signals();
    });
}

void entry_node::reload() {
    std::string text = read_text(settings_path_);
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
    environment_.max_key_age =
        from_ms(settings_.bounds.revocation_ms) - key_margin;
    environment_.max_delivery_delay = from_ms(settings_.bounds.delivery_ms);
    log_.info("settings reloaded", {field("needs_restart", needs_restart)});
}

void entry_node::begin_drain() {
    stopping_ = true;
    stopping_since_ = loop_.now();
    fleet_.stop();
    log_.info("draining", {field("calls", calls_.size()),
                           field("connections", callers_.connection_count())});
    loop_.run_after(serve_on_after_stop,
                    [this] { callers_.close_idle_connections(); });
    loop_.run_every(drain_check, [this] { check_drained(); });
}

void entry_node::check_drained() {
    const base::duration since = loop_.now() - stopping_since_;
    const base::duration grace = from_ms(settings_.bounds.grace_period_ms);
    const bool done = since > serve_on_after_stop && calls_.empty();
    if (done || since > grace - exit_margin) {
        // What is left must not look complete to its caller.
        callers_.abort_responses();
        loop_.stop();
    }
}

absl::Status entry_node::open_datagrams() {
    udp::endpoint endpoint;
    asio::error_code error;
    if (!parse_udp(settings_.listeners.peers, endpoint)) {
        return absl::InvalidArgumentError(absl::StrCat(
            "peers: found ", settings_.listeners.peers, ", expected IP:port"));
    }
    std::ignore = datagrams_.open(endpoint.protocol(), error);
    if (!error) {
        std::ignore = datagrams_.bind(endpoint, error);
    }
    if (!error) {
        std::ignore = datagrams_.non_blocking(true, error);
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
    datagrams_.async_wait(
        udp::socket::wait_read, [this](const asio::error_code& error) {
            if (error) {
                return;
            }
            for (;;) {
                udp::endpoint sender;
                asio::error_code failed;
                const std::size_t size = datagrams_.receive_from(
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

void entry_node::on_datagram(const std::string& from, std::string_view bytes) {
    const auto message = decode_message(bytes);
    if (!message) {
        ++malformed_datagrams_;
        return;
    }
    hosts_.clear_suspicion(message->host);
    schedule_.on_message(from, *message);
    share_exchange_.on_message(from, *message);
    fleet_.on_message(from, *message);
}

void entry_node::send_datagram(const std::string& address,
                               std::string_view bytes) {
    udp::endpoint endpoint;
    if (!parse_udp(address, endpoint)) {
        ++datagram_failures_;
        return;
    }
    asio::error_code error;
    datagrams_.send_to(asio::buffer(bytes.data(), bytes.size()), endpoint, 0,
                       error);
    // A lost datagram is sent again by its timer.
    datagram_failures_ += error ? 1 : 0;
}

void entry_node::on_request(const std::shared_ptr<caller_connection>& caller,
                            caller_request request) {
    auto started = std::make_shared<call>(
        environment_, caller, std::move(request),
        [this, key = caller.get()](call*) { calls_.erase(key); });
    calls_[caller.get()] = started;
    started->start();
}

std::optional<std::string> entry_node::refuse_early(const message_head& head) {
    const auto request = platform_wire::describe_request(head.headers);
    if (const auto& configuration = fleet_.configuration()) {
        if (admission_.try_exempt(organisation_of(*configuration, request))) {
            return std::nullopt;
        }
        count_host_refusal(shares_, *configuration, request);
    }
    call_report report;
    report.request_id = request.id;
    const refusal response = make_refusal(report.request_id, host_overloaded,
                                          overloaded_retry_after);
    report.outcome = call_outcome::refused;
    report.cause = host_overloaded;
    report.status = response.status;
    report.retry_after_ms = response.retry_after.count();
    reporter_.on_call(report);
    std::string bytes = encode_response_head(
        response.status, response.headers,
        absl::StrCat("Content-Length: ", response.body.size(), "\r\n"), false);
    if (head.method != "HEAD") {
        bytes.append(response.body);
    }
    return bytes;
}

void entry_node::on_caller_disconnected(caller_connection& caller) {
    const auto found = calls_.find(&caller);
    if (found != calls_.end()) {
        const auto left = found->second;
        left->on_caller_disconnected();
    }
}

void entry_node::tick() {
    const base::time_point now = loop_.now();
    if (last_tick_ != base::time_point{}) {
        const bool was_ready = load_.is_ready();
        load_.on_sample(now - last_tick_ -
                        overload::host_load::sample_interval);
        if (was_ready != load_.is_ready()) {
            log_.warning(was_ready ? "host overloaded" : "host has time again",
                         {field("lateness_ms", load_.lateness()),
                          field("refused_share", load_.refusal_ratio()),
                          field("calls", calls_.size())});
        }
    }
    last_tick_ = now;
    schedule_.tick();
    pacer_.tick();
}

// Whether callers are asked to close their connections after a response.
bool entry_node::closes_connections() const {
    return stopping_ || !load_.is_ready() ||
           static_cast<double>(callers_.connection_count()) >
               idle_descriptor_share * settings_.limits.descriptors;
}

bool entry_node::is_ready() const {
    return !stopping_ && fleet_.is_ready() && load_.is_ready();
}

void entry_node::on_ready_request(
    const std::shared_ptr<caller_connection>& caller) {
    caller->respond(is_ready() ? ok : unavailable, {}, "");
}

void entry_node::on_operator_request(
    const std::shared_ptr<caller_connection>& caller,
    const caller_request& request) {
    if (request.target == "/metrics") {
        refresh_figures();
        caller->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                        figures_.to_prometheus_text());
    } else if (request.target == "/dump") {
        caller->respond(ok, {{"Content-Type", "application/json"}}, dump());
    } else {
        caller->respond(not_found, {}, "");
    }
}

void entry_node::refresh_figures() {
    const auto set = [this](const char* name, const char* help, double value) {
        figures_.add_gauge(name, help).set(value);
    };
    const auto store = fleet_.read_statistics();
    const auto schedule = schedule_.read_statistics();
    const auto set_share = [this](const std::string& organisation,
                                  const char* what, double tokens) {
        figures_
            .add_gauge("bronzehub_entry_share_tokens",
                       "Engine work by organisation since the start, in "
                       "tokens read and twice the tokens generated.",
                       {{"organisation", organisation}, {"what", what}})
            .set(tokens);
    };
    for (const auto& [organisation, counted] : shares_.totals()) {
        set_share(organisation, "asked", counted.requested);
        set_share(organisation, "granted", counted.granted);
        set_share(organisation, "refused_by_host", counted.refused_by_host);
        set_share(organisation, "refused_by_engines",
                  counted.refused_by_engines);
    }
    set("bronzehub_entry_store_configuration_calls",
        "Calls of the store for the configuration.",
        static_cast<double>(store.configuration_calls));
    set("bronzehub_entry_store_server_calls",
        "Calls of the store for backend servers.",
        static_cast<double>(store.server_calls));
    set("bronzehub_entry_store_host_calls",
        "Calls of the store for entry hosts.",
        static_cast<double>(store.host_calls));
    set("bronzehub_entry_store_failures",
        "Calls of the store without a usable response.",
        static_cast<double>(store.failures));
    set("bronzehub_entry_bad_rows", "Rows of the store that were unreadable.",
        static_cast<double>(store.bad_rows));
    set("bronzehub_entry_asks", "Places on engines that were asked for.",
        static_cast<double>(schedule.requests));
    set("bronzehub_entry_owners_passed_over",
        "Owners that left an ask unanswered.",
        static_cast<double>(schedule.owners_passed_over));
    set("bronzehub_entry_collectors_passed_over",
        "Collectors of shares that were silent and are reported to no more.",
        static_cast<double>(
            share_exchange_.read_statistics().collectors_passed_over));
    set("bronzehub_entry_engine_running",
        "Requests on the engines that this host schedules for.",
        static_cast<double>(schedule.running));
    set("bronzehub_entry_engine_waiting",
        "Requests that wait for the engines that this host schedules for.",
        static_cast<double>(schedule.waiting));
    set("bronzehub_entry_connections_opened",
        "Connections opened to backend servers.",
        static_cast<double>(pool_.opened_count()));
    set("bronzehub_entry_connections_reused",
        "Requests to backend servers on a kept connection.",
        static_cast<double>(pool_.reused_count()));
    set("bronzehub_entry_malformed_datagrams",
        "Datagrams that were no message of this version.",
        static_cast<double>(malformed_datagrams_));
    set("bronzehub_entry_log_lines_dropped",
        "Log lines that the reader left no room for.",
        static_cast<double>(lines_.dropped_count()));
    set("bronzehub_entry_configuration_age_seconds",
        "Time since the configuration was certainly the newest.",
        std::chrono::duration<double>(loop_.now() -
                                      fleet_.configuration_confirmed_at())
            .count());
}

void entry_node::log_shares() {
    const bool known = fleet_shares_.is_current();
    // JSON has no infinity.
    const double level = known && std::isfinite(fleet_shares_.fair_share())
                             ? fleet_shares_.fair_share()
                             : unknown_figure;
    const double age_ms =
        known ? std::chrono::duration<double, std::milli>(fleet_shares_.age())
                    .count()
              : unknown_figure;
    for (const auto& line : shares_.take_most_refused(share_lines)) {
        log_.info(
            "organisation refused",
            {field("organisation", line.organisation),
             field("asked", line.counts.requested),
             field("granted", line.counts.granted),
             field("refused_by_host", line.counts.refused_by_host),
             field("refused_by_engines", line.counts.refused_by_engines),
             field("refused_share", load_.refusal_ratio()),
             field("fleet_asked", fleet_shares_.requested(line.organisation)),
             field("fleet_granted", fleet_shares_.granted(line.organisation)),
             field("fleet_level", level), field("fleet_age_ms", age_ms)});
    }
}

void entry_node::log_summary() {
    reporter_.log_omitted_count();
    const auto store = fleet_.read_statistics();
    const auto schedule = schedule_.read_statistics();
    log_.info("summary",
              {field("calls", calls_.size()),
               field("delivered", reporter_.count(call_outcome::delivered)),
               field("refused", reporter_.count(call_outcome::refused)),
               field("rejected", reporter_.count(call_outcome::rejected)),
               field("failed", reporter_.count(call_outcome::failed)),
               field("abandoned", reporter_.count(call_outcome::abandoned)),
               field("connections", callers_.connection_count()),
               field("connections_unwatched", callers_.registration_failures()),
               field("hosts", hosts_.host_count()),
               field("reader_rank", hosts_.reader_rank()),
               field("store_configuration_calls", store.configuration_calls),
               field("store_server_calls", store.server_calls),
               field("store_host_calls", store.host_calls),
               field("store_failures", store.failures),
               field("asks", schedule.requests),
               field("owners_passed_over", schedule.owners_passed_over),
               field("lateness_ms", load_.lateness()),
               field("lines_dropped", lines_.dropped_count())});
}

std::string entry_node::dump() {
    const auto schedule = schedule_.read_statistics();
    nlohmann::json result = {
        {"host", settings_.host.name},
        {"failure_domain", settings_.host.failure_domain},
        {"incarnation", incarnation_},
        {"ready", is_ready()},
        {"stopping", stopping_},
        {"configuration_version",
         fleet_.configuration() ? fleet_.configuration()->version() : 0},
        {"hosts", hosts_.host_count()},
        {"calls", calls_.size()},
        {"schedules", schedule.schedulers},
        {"engine_running", schedule.running},
        {"engine_waiting", schedule.waiting}};
    for (const auto& [id, server] : servers_.all()) {
        result["backend_servers"][id] = {
            {"service", server.service},
            {"address", server.address},
            {"draining", server.state == fleet_state::backend_state::draining},
            {"health",
             capacity::to_string(status_.find_or_create(id).health.state())},
            {"in_flight", status_.find_or_create(id).in_flight}};
    }
    return result.dump();
}

void entry_node::housekeeping() {
    pool_.reap();
    heat_.prune();
    shares_.prune();
    admission_.prune();
    retries_.set_hosts(hosts_.host_count());
    if (is_ready() != was_ready_) {
        was_ready_ = is_ready();
        log_.info("readiness changed", {field("ready", was_ready_)});
    }
    schedule_.remove_unknown_engines([this](std::string_view engine) {
        const std::string_view id = engine.substr(0, engine.rfind('/'));
        return servers_.find_available(id) != nullptr;
    });
}

}  // namespace bronzehub::entry
