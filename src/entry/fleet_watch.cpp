#include "entry/fleet_watch.hpp"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

#include "base/hash.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/wire_names.hpp"

namespace bronzehub::entry {
namespace {

using fleet_state::store_data;
using logging::field;
using platform_wire::rows_response;
using platform_wire::stored_row;
using std::chrono::milliseconds;

// Table of the store in which entry hosts announce themselves.
constexpr std::string_view host_table = "entry_hosts";

std::string_view to_string(store_data data) {
    return data == store_data::configuration ? "configuration"
                                             : "backend servers";
}

}  // namespace

fleet_watch::fleet_watch(
    net::event_loop& loop, const std::string& store_address,
    base::duration max_age, fleet_state::backend_directory& servers,
    host_directory& hosts, datagram_sender send, std::uint64_t incarnation,
    logging::logger& log,
    std::function<void(std::string_view)> on_server_removed,
    std::function<std::size_t(const evacuation::set_change&)>
        on_evacuation_change)
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
             make_relay_callbacks()),
      schedule_(fleet_state::make_read_schedule_options(max_age), loop.clock()),
      evacuations_(
          loop.clock(), log,
          {[this](const evacuation::domain_report& report) {
               relay_.set_evacuated_domains(report);
           },
           [this, on_evacuation_change = std::move(on_evacuation_change)](
               const evacuation::domain_set& domains,
               const evacuation::set_change& change) {
               servers_.set_evacuated_domains(domains);
               return on_evacuation_change(change);
           }}) {}

relay_callbacks fleet_watch::make_relay_callbacks() {
    relay_callbacks result;
    result.on_configuration_version = [this](std::uint64_t version,
                                             milliseconds store_time) {
        const std::uint64_t known =
            configuration_ ? configuration_->version() : 0;
        if (version > known) {
            outdated_since_ = outdated_since_.value_or(loop_.now());
            fetch_newer_configuration();
            return;
        }
        const auto at = clock_.to_local(store_time, loop_.now());
        if (version == known && at) {
            schedule_.on_confirmed(store_data::configuration, *at);
            configuration_confirmed_at_ =
                std::max(configuration_confirmed_at_, *at);
        }
    };
    result.on_configuration = [this](const std::string& text,
                                     milliseconds store_time) {
        if (!apply_configuration(text)) {
            return false;
        }
        if (const auto at = clock_.to_local(store_time, loop_.now())) {
            schedule_.on_confirmed(store_data::configuration, *at);
            configuration_confirmed_at_ =
                std::max(configuration_confirmed_at_, *at);
        }
        return true;
    };
    result.on_listing_confirmed = [this](milliseconds store_time) {
        const auto at = clock_.to_local(store_time, loop_.now());
        if (at && servers_.has_listing()) {
            schedule_.on_confirmed(store_data::servers, *at);
            log_changes(servers_.on_listing_unchanged(*at));
        }
    };
    result.on_listing =
        [this](const std::vector<fleet_state::backend_server>& listed,
               milliseconds store_time) {
            // Before its first response of the store, this host can't tell how
            // old the listing is.
            const auto at = clock_.to_local(store_time, loop_.now());
            if (at) {
                apply_listing(listed, *at);
            }
            return at.has_value();
        };
    result.on_server_leaving =
        [this](const fleet_state::backend_server& server) {
            mark_leaving(server, "peer");
        };
    result.on_evacuated_domains = [this](evacuation::domain_report report) {
        evacuations_.on_peer_report(std::move(report));
    };
    return result;
}

void fleet_watch::start() {
    started_at_ = loop_.now();
    announce_host();
    loop_.run_every(due_check_interval, [this] { start_due_reads(); });
}

void fleet_watch::stop() {
    stopping_ = true;
    relay_.send_leave();
}

void fleet_watch::start_due_reads() {
    if (!hosts_known_ && loop_.now() - started_at_ < max_host_table_wait) {
        return;
    }
    schedule_.set_rank(hosts_.reader_rank());
    if (outdated_since_) {
        fetch_newer_configuration();
    } else if (schedule_.is_due(store_data::configuration) ||
               // No other host told which domains are evacuated.
               (configuration_ && !evacuated_domains().is_known() &&
                schedule_.may_read(store_data::configuration))) {
        // Only the reader of the failure domain watches for changes. The others
        // read rarely and therefore read the whole table.
        if (configuration_ && schedule_.rank() == 0 && watched_) {
            watch_configuration();
        } else {
            read_configuration();
        }
    }
    if (schedule_.is_due(store_data::servers)) {
        read_servers("");
    }
}

void fleet_watch::fetch_newer_configuration() {
    const base::duration waited = loop_.now() - *outdated_since_;
    if (waited > max_forwarding_time) {
        if (schedule_.may_read(store_data::configuration)) {
            read_configuration();
        }
    } else if (!configuration_ || waited > forwarding_time) {
        relay_.request_configuration();
    }
}

void fleet_watch::log_reachability(std::string_view data,
                                   const absl::Status& status) {
    if (status.ok()) {
        if (lost_.erase(data) > 0) {
            log_.info("store reachable again", {field("reading", data)});
        }
    } else if (lost_.insert(data).second) {
        log_.warning("store lost",
                     {field("reading", data), field("cause", status)});
    }
}

bool fleet_watch::finish_read(store_data data, const absl::Status& status) {
    log_reachability(to_string(data), status);
    if (status.ok()) {
        if (schedule_.on_read_succeeded(data)) {
            hosts_.mark_silent_readers();
        }
    } else if (absl::IsOutOfRange(status)) {
        // The store has discarded the changes that were watched for; the next
        // read is a complete one.
        schedule_.on_read_succeeded(data);
    } else {
        schedule_.on_read_failed(data);
    }
    return status.ok();
}

std::uint64_t fleet_watch::observe_era(const rows_response& read) {
    using change = fleet_state::store_era::change;
    const std::uint64_t known = era_.newest();
    const auto [era, changed] = era_.on_response(read.era);
    if (changed == change::risen) {
        log_.info("store era rose",
                  {field("store_era", era), field("known_era", known),
                   field("store_version", read.version)});
    } else if (changed != change::none) {
        log_.warning(
            changed == change::fallen ? "store era fell" : "store era missing",
            {field("store_era", era), field("known_era", known)});
    }
    return era;
}

base::time_point fleet_watch::confirmation_time(const rows_response& read,
                                                base::time_point sent_at) {
    clock_.on_response(sent_at, read.store_time);
    return std::max(
        sent_at,
        clock_.to_local(read.store_time, loop_.now()).value_or(sent_at));
}

void fleet_watch::read_configuration(const std::string& first_key) {
    schedule_.on_read_started(store_data::configuration);
    if (first_key.empty()) {
        operator_rows_ = {};
    }
    configuration_client_.call(
        platform_wire::make_read_rows_request(platform_wire::table::operators,
                                              first_key),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (finish_read(store_data::configuration, read.status())) {
                on_operator_page(*read, sent_at);
            }
        });
}

void fleet_watch::on_operator_page(const rows_response& page,
                                   base::time_point sent_at) {
    const std::uint64_t era = observe_era(page);
    if (operator_rows_.rows.empty()) {
        // Changes during the read of further pages are watched for.
        operator_rows_.era = era;
        operator_rows_.version = page.version;
        operator_rows_.store_time = page.store_time;
        operator_read_at_ = sent_at;
    } else if (operator_rows_.era != era) {
        // The pages belong to different states of the store.
        schedule_.on_read_failed(store_data::configuration);
        return;
    }
    operator_rows_.rows.insert(operator_rows_.rows.end(), page.rows.begin(),
                               page.rows.end());
    if (page.has_more && !page.rows.empty()) {
        // The next page starts at the smallest key after the last one read.
        read_configuration(page.rows.back().key + '\0');
        return;
    }
    const rows_response read = std::exchange(operator_rows_, {});
    outdated_since_.reset();
    watched_ = {era, read.version};
    evacuations_.on_read(
        std::nullopt, platform_wire::decode_evacuations(read.rows), *watched_);
    on_configuration_read(read, operator_read_at_);
}

void fleet_watch::watch_configuration() {
    schedule_.on_read_started(store_data::configuration);
    const auto wait = std::chrono::duration_cast<milliseconds>(
        schedule_.options().read_interval);
    configuration_client_.call(
        platform_wire::make_watch_rows_request(platform_wire::table::operators,
                                               watched_->version, wait),
        wait + reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (!finish_read(store_data::configuration, read.status())) {
                watched_.reset();
                return;
            }
            const fleet_state::store_version version{observe_era(*read),
                                                     read->version};
            if (watched_->era != version.era) {
                // Versions are given out again in a new era, so the response
                // may lack changes.
                watched_.reset();
                return;
            }
            evacuations_.on_read(watched_,
                                 platform_wire::decode_evacuations(read->rows),
                                 version);
            watched_ = std::max(*watched_, version);
            on_configuration_read(*read, sent_at);
        });
}

void fleet_watch::on_configuration_read(const rows_response& read,
                                        base::time_point sent_at) {
    // A watch returns each change since the last one, oldest first.
    const auto newest_first = read.rows | std::views::reverse;
    const auto row =
        std::ranges::find_if(newest_first, [](const stored_row& entry) {
            return entry.key == platform_wire::configuration_row &&
                   !entry.deleted;
        });
    if (row != newest_first.end()) {
        apply_configuration(row->value);
    }
    const base::time_point confirmed_at = confirmation_time(read, sent_at);
    schedule_.on_confirmed(store_data::configuration, confirmed_at);
    configuration_confirmed_at_ =
        std::max(configuration_confirmed_at_, confirmed_at);
    if (evacuations_.take_announcement()) {
        relay_.send_evacuated_domains();
    }
    relay_.on_configuration_read(configuration_ ? configuration_->version() : 0,
                                 configuration_text_, read.store_time);
    if (!configuration_) {
        // The operators have not written a configuration yet.
        schedule_.postpone(store_data::configuration,
                           missing_configuration_delay);
        return;
    }
    start_due_reads();
}

bool fleet_watch::apply_configuration(const std::string& text) {
    auto content = platform_wire::decode_configuration(text);
    if (!content.ok()) {
        ++bad_rows_;
        log_.error("configuration unreadable; the last one stays in force",
                   {field("cause", content.status())});
        return false;
    }
    if (configuration_ && content->version <= configuration_->version()) {
        return false;
    }
    configuration_ =
        std::make_shared<const fleet_state::configuration>(*std::move(content));
    configuration_text_ = text;
    outdated_since_.reset();
    log_.info("configuration in force",
              {field("version", configuration_->version()),
               field("routes", configuration_->route_count())});
    return true;
}

void fleet_watch::read_servers(const std::string& first_key) {
    schedule_.on_read_started(store_data::servers);
    if (first_key.empty()) {
        listed_servers_.clear();
        bad_registrations_.clear();
    }
    servers_client_.call(
        platform_wire::make_read_rows_request(
            platform_wire::table::backend_servers, first_key),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            if (finish_read(store_data::servers, read.status())) {
                on_server_page(*read, sent_at);
            }
        });
}

void fleet_watch::on_server_page(const rows_response& page,
                                 base::time_point sent_at) {
    observe_era(page);
    const base::time_point read_at = confirmation_time(page, sent_at);
    for (const stored_row& row : page.rows) {
        auto server = platform_wire::decode_backend_server(row.key, row.value);
        if (server.ok()) {
            listed_servers_.push_back(*std::move(server));
        } else {
            on_bad_registration(row, server.status());
        }
    }
    bad_rows_ += page.malformed_row_count;
    if (page.has_more && !page.rows.empty()) {
        // The next page starts at the smallest key after the last one read.
        read_servers(page.rows.back().key + '\0');
        return;
    }
    std::erase_if(logged_registrations_, [this](const std::string& key) {
        return !bad_registrations_.contains(key);
    });
    schedule_.postpone(store_data::servers, schedule_.options().read_interval);
    if (relay_.supersedes_read(sent_at, page.store_time)) {
        return;
    }
    apply_listing(listed_servers_, read_at);
    relay_.on_listing_read(listed_servers_, page.store_time);
}

void fleet_watch::on_bad_registration(const stored_row& row,
                                      const absl::Status& cause) {
    ++bad_rows_;
    bad_registrations_.insert(row.key);
    if (logged_registrations_.size() < max_logged_registrations &&
        logged_registrations_.insert(row.key).second) {
        log_.warning(
            "registration unusable",
            {field("server", row.key), field("row_version", row.version),
             field("cause", cause)});
    }
}

bool fleet_watch::on_server_leaving(const fleet_state::backend_server& server) {
    const bool is_news = mark_leaving(server, "response");
    if (is_news) {
        relay_.send_server_leaving(server);
    }
    return is_news;
}

bool fleet_watch::mark_leaving(const fleet_state::backend_server& server,
                               std::string_view source) {
    const bool is_news = servers_.mark_leaving(server.id, server.started_at_ms);
    if (is_news) {
        log_.info("backend server",
                  {field("change", "leaving"), field("server", server.id),
                   field("service", server.service), field("source", source)});
    }
    return is_news;
}

void fleet_watch::apply_listing(
    const std::vector<fleet_state::backend_server>& listed,
    base::time_point read_at) {
    schedule_.on_confirmed(store_data::servers, read_at);
    log_changes(servers_.on_listing(listed, read_at));
    if (on_listing_applied_) {
        on_listing_applied_(listed, read_at);
    }
}

void fleet_watch::log_changes(
    const std::vector<fleet_state::directory_change>& changes) {
    constexpr std::array names{"added", "draining", "removed", "restarted"};
    for (const auto& change : changes) {
        log_.info(
            "backend server",
            {field("change", names.at(static_cast<std::size_t>(change.kind))),
             field("server", change.id), field("service", change.service)});
        using kind = fleet_state::directory_change::change_kind;
        if (change.kind == kind::removed || change.kind == kind::restarted) {
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
                           log_reachability("entry hosts", written.status());
                           if (!written.ok()) {
                               finish_announcement(false);
                               return;
                           }
                           clock_.on_response(sent_at, written->store_time);
                           // Later, only the reader of the failure domain reads
                           // the table, and forwards it.
                           if (!hosts_known_ || hosts_.reader_rank() == 0) {
                               read_hosts("");
                           } else {
                               finish_announcement(true);
                           }
                       });
}

void fleet_watch::finish_announcement(bool succeeded) {
    hosts_.remove_expired();
    base::duration delay = announce_retry_;
    if (succeeded) {
        announce_retry_ = first_announce_retry;
        // Hosts that started together announce themselves at different times
        // later.
        constexpr std::uint64_t steps = 100;
        const auto step = static_cast<base::duration::rep>(
            base::stable_hash(hosts_.self().name) % steps);
        delay = host_directory::announce_interval -
                host_directory::announce_interval / 4 * step / steps;
    } else {
        announce_retry_ =
            std::min<base::duration>(2 * announce_retry_, max_announce_retry);
    }
    loop_.run_after(delay, [this] { announce_host(); });
}

void fleet_watch::read_hosts(const std::string& first_key) {
    if (first_key.empty()) {
        listed_hosts_.clear();
    }
    hosts_client_.call(
        platform_wire::make_read_rows_request(host_table, first_key),
        reply_timeout,
        [this](const absl::StatusOr<rows_response>& read,
               base::time_point sent_at) {
            log_reachability("entry hosts", read.status());
            if (!read.ok()) {
                finish_announcement(false);
                return;
            }
            clock_.on_response(sent_at, read->store_time);
            on_host_page(*read);
        });
}

void fleet_watch::on_host_page(const rows_response& page) {
    for (const stored_row& row : page.rows) {
        if (const auto host = decode_host(row.key, row.value)) {
            hosts_.on_announcement(*host, row.version);
            listed_hosts_.push_back(
                {host->name, host->address, host->failure_domain, row.version});
        } else {
            ++bad_rows_;
        }
    }
    bad_rows_ += page.malformed_row_count;
    if (page.has_more && !page.rows.empty()) {
        read_hosts(page.rows.back().key + '\0');
        return;
    }
    if (!std::exchange(hosts_known_, true)) {
        relay_.send_hello();
        loop_.run_after(second_hello_delay, [this] { send_hello(); });
        start_due_reads();
    } else {
        relay_.send_hosts(listed_hosts_);
    }
    finish_announcement(true);
}

void fleet_watch::send_hello() {
    if (!stopping_) {
        relay_.send_hello();
    }
}

fleet_watch::statistics fleet_watch::read_statistics() const {
    return {configuration_client_.calls(), servers_client_.calls(),
            hosts_client_.calls(),
            configuration_client_.failures() + servers_client_.failures() +
                hosts_client_.failures(),
            bad_rows_};
}

}  // namespace bronzehub::entry
