#include "entry/fleet_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "platform/configuration_codec.hpp"
#include "platform/wire_names.hpp"

namespace bronzehub::entry {
namespace {

using logging::field;
using platform_wire::rows_response;
using platform_wire::stored_row;

// Table of this project in which hosts announce themselves.
constexpr std::string_view hosts_table = "entry_hosts";

// Hosts start within a fraction of a second of each other, so the first
// rounds follow quickly.
constexpr std::chrono::milliseconds first_hosts_interval{1000};
constexpr int first_hosts_rounds = 3;

}  // namespace

fleet_watch::fleet_watch(event_loop& loop, std::string store_address,
                         fleet_state::backend_directory& servers,
                         host_directory& hosts, std::uint64_t incarnation,
                         logging::logger& log, fleet_watch_hooks hooks)
    : loop_(loop),
      servers_(servers),
      hosts_(hosts),
      incarnation_(incarnation),
      log_(log),
      hooks_(std::move(hooks)),
      configuration_client_(loop, store_address),
      servers_client_(loop, store_address),
      hosts_client_(loop, std::move(store_address)) {}

void fleet_watch::start() {
    read_configuration();
    list_servers("");
    exchange_hosts();
}

void fleet_watch::note_reachable(const char* what, bool& reachable,
                                 const absl::Status& status) {
    if (reachable == status.ok()) {
        return;
    }
    reachable = status.ok();
    if (reachable) {
        log_.info("store reachable again", {field("reading", what)});
    } else {
        log_.warning("store lost",
                     {field("reading", what), field("cause", status)});
    }
}

base::duration fleet_watch::pause_after_failure(base::duration& pause) const {
    const base::duration now = pause;
    pause = std::min<base::duration>(2 * pause, longest_pause);
    return now;
}

void fleet_watch::read_configuration() {
    configuration_client_.call(
        platform_wire::read_rows(platform_wire::table::operators),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            note_reachable("configuration", configuration_reachable_,
                           read.status());
            if (!read.ok()) {
                loop_.after(pause_after_failure(configuration_pause_),
                            [this] { read_configuration(); });
                return;
            }
            configuration_pause_ = first_pause;
            watched_version_ = read->version;
            on_configuration_rows(read->rows);
            configuration_known_at_ = sent_at;
            watch_configuration();
        });
}

void fleet_watch::watch_configuration() {
    configuration_client_.call(
        platform_wire::watch_rows(platform_wire::table::operators,
                                  watched_version_, watch_wait),
        watch_wait + reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            note_reachable("configuration", configuration_reachable_,
                           read.status());
            if (!read.ok()) {
                // The history may be gone, so everything is read anew.
                loop_.after(absl::IsOutOfRange(read.status())
                                ? base::duration(0)
                                : pause_after_failure(configuration_pause_),
                            [this] { read_configuration(); });
                return;
            }
            configuration_pause_ = first_pause;
            watched_version_ = std::max(watched_version_, read->version);
            on_configuration_rows(read->rows);
            // An empty answer was made when the wait had ended.
            const bool waited =
                read->rows.empty() && loop_.now() - sent_at >= watch_wait;
            configuration_known_at_ = waited ? sent_at + watch_wait : sent_at;
            watch_configuration();
        });
}

void fleet_watch::on_configuration_rows(const std::vector<stored_row>& rows) {
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
    hooks_.on_configuration(configuration_);
}

void fleet_watch::list_servers(const std::string& from) {
    if (from.empty()) {
        listed_.clear();
        listing_began_ = loop_.now();
    }
    servers_client_.call(
        platform_wire::read_rows(platform_wire::table::backend_servers, from),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point /*sent_at*/) {
            note_reachable("backend servers", servers_reachable_,
                           read.status());
            if (!read.ok()) {
                loop_.after(pause_after_failure(servers_pause_),
                            [this] { list_servers(""); });
                return;
            }
            servers_pause_ = first_pause;
            on_servers(*read);
        });
}

void fleet_watch::on_servers(const rows_response& page) {
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
        // The smallest key behind the last one.
        list_servers(page.rows.back().key + '\0');
        return;
    }
    const auto changes = servers_.on_listing(listed_, listing_began_);
    for (const auto& change : changes) {
        constexpr std::array names{"added", "draining", "removed", "restarted"};
        log_.info(
            "backend server",
            {field("change", names.at(static_cast<std::size_t>(change.what))),
             field("server", change.id), field("service", change.service)});
    }
    hooks_.on_backend_servers(changes);
    loop_.after(listing_interval, [this] { list_servers(""); });
}

void fleet_watch::exchange_hosts() {
    hosts_client_.call(
        platform_wire::write_row(hosts_table, hosts_.self().name,
                                 encode_host(hosts_.self(), incarnation_)),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& written,
               base::time_point /*sent_at*/) {
            note_reachable("entry hosts", hosts_reachable_, written.status());
            list_hosts();
        });
    const bool early = hosts_rounds_++ < first_hosts_rounds;
    loop_.after(early ? base::duration(first_hosts_interval)
                      : base::duration(host_directory::announce_interval),
                [this] { exchange_hosts(); });
}

void fleet_watch::list_hosts() {
    hosts_client_.call(
        platform_wire::read_rows(hosts_table), reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point /*sent_at*/) {
            note_reachable("entry hosts", hosts_reachable_, read.status());
            if (!read.ok()) {
                return;  // Read again in the next round.
            }
            for (const stored_row& row : read->rows) {
                if (const auto host = decode_host(row.key, row.value)) {
                    hosts_.on_announcement(*host, row.version);
                } else {
                    ++bad_rows_;
                }
            }
            hosts_.expire();
        });
}

fleet_watch::figures fleet_watch::read() const {
    return {configuration_client_.calls() + servers_client_.calls() +
                hosts_client_.calls(),
            configuration_client_.failures() + servers_client_.failures() +
                hosts_client_.failures(),
            bad_rows_};
}

}  // namespace bronzehub::entry
