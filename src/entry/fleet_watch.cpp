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

// Table of the store in which entry hosts announce themselves.
constexpr std::string_view host_table = "entry_hosts";

// At its start a host reads the table and sends a hello datagram to the hosts
// that it finds. After this delay it does so once more, as datagrams may be
// lost.
constexpr milliseconds second_announcement_delay{6000};

}  // namespace

fleet_watch::fleet_watch(
    event_loop& loop, const std::string& store_address,
    fleet_state::backend_directory& servers, host_directory& hosts,
    datagram_sender send, std::uint64_t incarnation, logging::logger& log,
    std::function<void(std::string_view)> on_server_removed)
    : loop_(loop),
      servers_(servers),
      hosts_(hosts),
      incarnation_(incarnation),
      log_(log),
      on_server_removed_(std::move(on_server_removed)),
      configuration_client_(loop, store_address),
      servers_client_(loop, store_address),
      hosts_client_(loop, store_address),
      relay_(hosts, loop.clock(), std::move(send), incarnation,
             make_relay_callbacks()) {}

relay_callbacks fleet_watch::make_relay_callbacks() {
    return {
        [this](std::uint64_t version, milliseconds store_time) {
            if (!configuration_ || version > configuration_->version()) {
                configuration_outdated_ = true;
                start_due_reads();
            } else if (version == configuration_->version()) {
                if (const auto at = clock_.to_local(store_time, loop_.now())) {
                    configuration_confirmed_at_ =
                        std::max(configuration_confirmed_at_, *at);
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
                apply_listing(listed, *at);
            }
        },
    };
}

void fleet_watch::start() {
    announce_host();
    loop_.run_every(due_check_interval, [this] { start_due_reads(); });
}

void fleet_watch::stop() {
    relay_.send_leave();
}

bool fleet_watch::is_due(const poll_state& poll,
                         base::time_point confirmed_at) const {
    const base::time_point now = loop_.now();
    return !poll.in_progress && now >= poll.next_at &&
           fleet_state::should_read(reader_selection_, hosts_.reader_rank(),
                                    now - confirmed_at);
}

void fleet_watch::start_due_reads() {
    poll_state& configuration = configuration_poll_;
    const bool may_read =
        !configuration.in_progress && loop_.now() >= configuration.next_at;
    if (may_read && (configuration_outdated_ ||
                     is_due(configuration, configuration_confirmed_at_))) {
        configuration.in_progress = true;
        // Only the host of rank 0, which reads all the time, watches for
        // changes. The others read rarely and therefore read the whole table.
        if (configuration_ && !configuration_outdated_ &&
            hosts_.reader_rank() == 0 && watched_version_ > 0) {
            watch_configuration();
        } else {
            read_configuration();
        }
    }
    if (is_due(servers_poll_, servers_.last_read_at())) {
        servers_poll_.in_progress = true;
        read_servers("");
    }
}

bool fleet_watch::finish_read(poll_state& poll, const char* what,
                              const absl::Status& status) {
    poll.in_progress = false;
    if (poll.reachable != status.ok()) {
        poll.reachable = status.ok();
        if (status.ok()) {
            log_.info("store reachable again", {field("reading", what)});
        } else {
            log_.warning("store lost",
                         {field("reading", what), field("cause", status)});
        }
    }
    if (status.ok()) {
        poll.backoff = initial_backoff;
        return true;
    }
    poll.next_at = loop_.now() + poll.backoff;
    poll.backoff = std::min<base::duration>(2 * poll.backoff, max_backoff);
    return false;
}

base::time_point fleet_watch::confirmation_time(const rows_response& read,
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
            if (finish_read(configuration_poll_, "configuration",
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
            if (!finish_read(configuration_poll_, "configuration",
                             read.status())) {
                // The store may have discarded the changes since this
                // version, so the next read is a complete one.
                watched_version_ = 0;
                return;
            }
            watched_version_ = std::max(watched_version_, read->version);
            on_configuration_read(*read, sent_at);
        });
}

void fleet_watch::on_configuration_read(const rows_response& read,
                                        base::time_point sent_at) {
    apply_configuration(read.rows);
    configuration_confirmed_at_ =
        std::max(configuration_confirmed_at_, confirmation_time(read, sent_at));
    if (!configuration_) {
        // The operators have not written a configuration yet.
        configuration_poll_.next_at = loop_.now() + missing_configuration_delay;
        return;
    }
    relay_.on_configuration_read(configuration_->version(), read.store_time);
    start_due_reads();
}

void fleet_watch::apply_configuration(const std::vector<stored_row>& rows) {
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

void fleet_watch::read_servers(const std::string& first_key) {
    if (first_key.empty()) {
        listed_servers_.clear();
    }
    servers_client_.call(
        platform_wire::make_read_rows_request(
            platform_wire::table::backend_servers, first_key),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (finish_read(servers_poll_, "backend servers", read.status())) {
                on_server_page(*read, sent_at);
            }
        });
}

void fleet_watch::on_server_page(const rows_response& page,
                                 base::time_point sent_at) {
    const base::time_point read_at = confirmation_time(page, sent_at);
    for (const stored_row& row : page.rows) {
        auto server = platform_wire::decode_backend_server(row.key, row.value);
        if (server.ok()) {
            listed_servers_.push_back(*std::move(server));
        } else {
            // A row that cannot be decoded does not invalidate the others.
            ++bad_rows_;
        }
    }
    if (page.has_more && !page.rows.empty()) {
        servers_poll_.in_progress = true;
        // The next page starts at the smallest key after the last one read.
        read_servers(page.rows.back().key + '\0');
        return;
    }
    servers_poll_.next_at = loop_.now() + listing_interval;
    apply_listing(listed_servers_, read_at);
    relay_.on_listing_read(listed_servers_, page.store_time);
}

void fleet_watch::apply_listing(
    const std::vector<fleet_state::backend_server>& listed,
    base::time_point read_at) {
    log_changes(servers_.on_listing(listed, read_at));
}

void fleet_watch::log_changes(
    const std::vector<fleet_state::directory_change>& changes) {
    constexpr std::array names{"added", "draining", "removed", "restarted"};
    for (const auto& change : changes) {
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

void fleet_watch::announce_host() {
    hosts_client_.call(platform_wire::make_write_row_request(
                           host_table, hosts_.self().name,
                           encode_host(hosts_.self(), incarnation_)),
                       reply_timeout,
                       [this](const absl::StatusOr<rows_response>& written,
                              base::time_point sent_at) {
                           if (written.ok()) {
                               clock_.on_response(sent_at, written->store_time);
                           }
                           read_hosts();
                       });
    const bool first = announcement_count_++ == 0;
    loop_.run_after(first ? base::duration(second_announcement_delay)
                          : base::duration(host_directory::announce_interval),
                    [this] { announce_host(); });
}

void fleet_watch::read_hosts() {
    hosts_client_.call(
        platform_wire::make_read_rows_request(host_table), reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (hosts_reachable_ != read.ok()) {
                hosts_reachable_ = read.ok();
                log_.warning(read.ok() ? "store reachable again" : "store lost",
                             {field("reading", "entry hosts"),
                              field("cause", read.status())});
            }
            if (!read.ok()) {
                return;  // The next announcement reads the table again.
            }
            clock_.on_response(sent_at, read->store_time);
            for (const stored_row& row : read->rows) {
                if (const auto host = decode_host(row.key, row.value)) {
                    hosts_.on_announcement(*host, row.version);
                } else {
                    ++bad_rows_;
                }
            }
            hosts_.remove_expired();
            if (announcement_count_ <= 2) {
                relay_.send_hello();
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
