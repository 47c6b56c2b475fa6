#include "entry/fleet_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "platform/configuration_codec.hpp"
#include "platform/wire_names.hpp"

namespace bronzehub::entry {
namespace {

using logging::field;
using platform_wire::rows_response;
using platform_wire::stored_row;
using std::chrono::milliseconds;

// Table of this project in which hosts announce themselves.
constexpr std::string_view hosts_table = "entry_hosts";

// A host reads the table once when it starts and greets those it finds. The
// second round is for greetings that were lost.
constexpr milliseconds second_hosts_round{6000};

}  // namespace

fleet_watch::fleet_watch(event_loop& loop, const std::string& store_address,
                         fleet_state::backend_directory& servers,
                         host_directory& hosts, datagram_sender send,
                         std::uint64_t incarnation, logging::logger& log,
                         std::function<void(std::string_view)> on_removed)
    : loop_(loop),
      servers_(servers),
      hosts_(hosts),
      incarnation_(incarnation),
      log_(log),
      on_server_removed_(std::move(on_removed)),
      configuration_client_(loop, store_address),
      servers_client_(loop, store_address),
      hosts_client_(loop, store_address),
      relay_(hosts, loop.clock(), std::move(send), incarnation,
             make_relay_hooks()) {}

relay_hooks fleet_watch::make_relay_hooks() {
    return {
        [this](std::uint64_t version, milliseconds store_time) {
            if (!configuration_ || version > configuration_->version()) {
                configuration_outdated_ = true;
                decide();
            } else if (version == configuration_->version()) {
                if (const auto at = clock_.to_local(store_time, loop_.now())) {
                    configuration_known_at_ =
                        std::max(configuration_known_at_, *at);
                }
            }
        },
        [this](milliseconds store_time) {
            if (const auto at = clock_.to_local(store_time, loop_.now())) {
                log_changes(servers_.on_listing_unchanged(*at));
            }
        },
        [this](const std::vector<fleet_state::backend_server>& listed,
               milliseconds store_time) {
            if (const auto at = clock_.to_local(store_time, loop_.now())) {
                take_servers(listed, *at);
            }
        },
    };
}

void fleet_watch::start() {
    exchange_hosts();
    loop_.run_every(decision_interval, [this] { decide(); });
}

void fleet_watch::stop() {
    relay_.say_farewell();
}

bool fleet_watch::is_due(const reading& which,
                         base::time_point known_at) const {
    const base::time_point now = loop_.now();
    return !which.in_progress && now >= which.next_at &&
           fleet_state::should_read(duty_, hosts_.reader_rank(),
                                    now - known_at);
}

void fleet_watch::decide() {
    reading& configuration = configuration_reading_;
    const bool may_read =
        !configuration.in_progress && loop_.now() >= configuration.next_at;
    if (may_read && (configuration_outdated_ ||
                     is_due(configuration, configuration_known_at_))) {
        configuration.in_progress = true;
        // A watch is for the host that reads all the time; the others read the
        // newest state, whatever they missed.
        if (configuration_ && !configuration_outdated_ &&
            hosts_.reader_rank() == 0 && watched_version_ > 0) {
            watch_configuration();
        } else {
            read_configuration();
        }
    }
    if (is_due(servers_reading_, servers_.last_read_at())) {
        servers_reading_.in_progress = true;
        list_servers("");
    }
}

// Ends a read; returns whether it succeeded.
bool fleet_watch::finish(reading& which, const char* what,
                         const absl::Status& status) {
    which.in_progress = false;
    if (which.reachable != status.ok()) {
        which.reachable = status.ok();
        if (status.ok()) {
            log_.info("store reachable again", {field("reading", what)});
        } else {
            log_.warning("store lost",
                         {field("reading", what), field("cause", status)});
        }
    }
    if (status.ok()) {
        which.pause = first_pause;
        return true;
    }
    which.next_at = loop_.now() + which.pause;
    which.pause = std::min<base::duration>(2 * which.pause, longest_pause);
    return false;
}

base::time_point fleet_watch::read_time(const rows_response& read,
                                        base::time_point sent_at) {
    clock_.on_response(sent_at, read.store_time);
    return std::max(
        sent_at,
        clock_.to_local(read.store_time, loop_.now()).value_or(sent_at));
}

void fleet_watch::read_configuration() {
    configuration_client_.call(
        platform_wire::make_read_rows_request(platform_wire::table::operators),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (finish(configuration_reading_, "configuration",
                       read.status())) {
                configuration_outdated_ = false;
                watched_version_ = read->version;
                on_configuration_read(*read, sent_at);
            }
        });
}

void fleet_watch::watch_configuration() {
    configuration_client_.call(
        platform_wire::make_watch_rows_request(platform_wire::table::operators,
                                               watched_version_, watch_wait),
        watch_wait + reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (!finish(configuration_reading_, "configuration",
                        read.status())) {
                // The history may be gone, so everything is read anew.
                watched_version_ = 0;
                return;
            }
            watched_version_ = std::max(watched_version_, read->version);
            on_configuration_read(*read, sent_at);
        });
}

void fleet_watch::on_configuration_read(const rows_response& read,
                                        base::time_point sent_at) {
    take_configuration(read.rows);
    configuration_known_at_ =
        std::max(configuration_known_at_, read_time(read, sent_at));
    if (!configuration_) {
        // The operators have not written it yet.
        configuration_reading_.next_at = loop_.now() + absent_pause;
        return;
    }
    relay_.on_configuration_read(configuration_->version(), read.store_time);
    decide();
}

void fleet_watch::take_configuration(const std::vector<stored_row>& rows) {
    const auto row = std::ranges::find_if(rows, [](const stored_row& entry) {
        return entry.key == platform_wire::configuration_row && !entry.deleted;
    });
    if (row == rows.end()) {
        return;
    }
    auto content = platform_wire::decode_configuration(row->value);
    if (!content.ok()) {
        ++bad_rows_;
        log_.error("configuration unreadable; the last one stays in force",
                   {field("cause", content.status()),
                    field("row_version", row->version)});
        return;
    }
    if (configuration_ && content->version <= configuration_->version()) {
        return;
    }
    configuration_ =
        std::make_shared<const fleet_state::configuration>(*std::move(content));
    log_.info("configuration in force",
              {field("version", configuration_->version()),
               field("routes", configuration_->route_count()),
               field("row_version", row->version)});
}

void fleet_watch::list_servers(const std::string& from) {
    if (from.empty()) {
        listed_.clear();
    }
    servers_client_.call(
        platform_wire::make_read_rows_request(
            platform_wire::table::backend_servers, from),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (finish(servers_reading_, "backend servers", read.status())) {
                on_servers(*read, sent_at);
            }
        });
}

void fleet_watch::on_servers(const rows_response& page,
                             base::time_point sent_at) {
    const base::time_point read_at = read_time(page, sent_at);
    for (const stored_row& row : page.rows) {
        auto server = platform_wire::decode_backend_server(row.key, row.value);
        if (server.ok()) {
            listed_.push_back(*std::move(server));
        } else {
            // Another writer's row names no server; the others hold.
            ++bad_rows_;
        }
    }
    if (page.has_more && !page.rows.empty()) {
        servers_reading_.in_progress = true;
        // The smallest key behind the last one.
        list_servers(page.rows.back().key + '\0');
        return;
    }
    servers_reading_.next_at = loop_.now() + listing_interval;
    take_servers(listed_, read_at);
    relay_.on_listing_read(listed_, page.store_time);
}

void fleet_watch::take_servers(
    const std::vector<fleet_state::backend_server>& listed,
    base::time_point read_at) {
    log_changes(servers_.on_listing(listed, read_at));
}

void fleet_watch::log_changes(
    const std::vector<fleet_state::directory_change>& all) {
    constexpr std::array names{"added", "draining", "removed", "restarted"};
    for (const auto& change : all) {
        log_.info(
            "backend server",
            {field("change", names.at(static_cast<std::size_t>(change.kind))),
             field("server", change.id), field("service", change.service)});
        if (change.kind ==
            fleet_state::directory_change::change_kind::removed) {
            on_server_removed_(change.id);
        }
    }
}

void fleet_watch::exchange_hosts() {
    hosts_client_.call(platform_wire::make_write_row_request(
                           hosts_table, hosts_.self().name,
                           encode_host(hosts_.self(), incarnation_)),
                       reply_timeout,
                       [this](const absl::StatusOr<rows_response>& written,
                              base::time_point sent_at) {
                           if (written.ok()) {
                               clock_.on_response(sent_at, written->store_time);
                           }
                           list_hosts();
                       });
    const bool first = hosts_rounds_++ == 0;
    loop_.run_after(first ? base::duration(second_hosts_round)
                          : base::duration(host_directory::announce_interval),
                    [this] { exchange_hosts(); });
}

void fleet_watch::list_hosts() {
    hosts_client_.call(
        platform_wire::make_read_rows_request(hosts_table), reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (hosts_reachable_ != read.ok()) {
                hosts_reachable_ = read.ok();
                log_.warning(read.ok() ? "store reachable again" : "store lost",
                             {field("reading", "entry hosts"),
                              field("cause", read.status())});
            }
            if (!read.ok()) {
                return;  // Read again in the next round.
            }
            clock_.on_response(sent_at, read->store_time);
            for (const stored_row& row : read->rows) {
                if (const auto host = decode_host(row.key, row.value)) {
                    hosts_.on_announcement(*host, row.version);
                } else {
                    ++bad_rows_;
                }
            }
            hosts_.expire();
            if (hosts_rounds_ <= 2) {
                relay_.say_hello();
            }
        });
}

fleet_watch::statistics fleet_watch::read_statistics() const {
    return {configuration_client_.calls(), servers_client_.calls(),
            hosts_client_.calls(),
            configuration_client_.failures() + servers_client_.failures() +
                hosts_client_.failures(),
            bad_rows_};
}

}  // namespace bronzehub::entry
