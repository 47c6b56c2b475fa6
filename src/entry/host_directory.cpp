#include "entry/host_directory.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "base/hash.hpp"
#include "base/ip_endpoint.hpp"
#include "fleet_state/read_schedule.hpp"

namespace bronzehub::entry {

using nlohmann::json;

namespace {

// Longest name of a failure domain in an announcement, in bytes.
constexpr std::size_t max_name_bytes = 200;

}  // namespace

std::string encode_host(const entry_host& host, std::uint64_t incarnation) {
    return json{{"address", host.address},
                {"failure_domain", host.failure_domain},
                {"incarnation", incarnation}}
        .dump();
}

std::optional<entry_host> decode_host(std::string_view name,
                                      std::string_view text) {
    const json row = json::parse(text, nullptr, false);
    if (!row.is_object() || !row.contains("address") ||
        !row["address"].is_string() || !row.contains("failure_domain") ||
        !row["failure_domain"].is_string()) {
        return std::nullopt;
    }
    entry_host result{std::string(name), row["address"].get<std::string>(),
                      row["failure_domain"].get<std::string>()};
    const auto endpoint = base::parse_ip_endpoint(result.address);
    if (result.name.empty() || !endpoint || endpoint->port == 0 ||
        result.failure_domain.size() > max_name_bytes) {
        return std::nullopt;
    }
    return result;
}

host_directory::host_directory(entry_host self, base::clock clock)
    : self_(std::move(self)), clock_(std::move(clock)) {}

void host_directory::on_announcement(const entry_host& host,
                                     std::uint64_t row_version) {
    if (host.name == self_.name) {
        return;
    }
    known_host& known = hosts_[host.name];
    if (known.row_version == row_version) {
        return;
    }
    known.host = host;
    known.row_version = row_version;
    known.last_announced_at = clock_.now();
}

void host_directory::on_hello(const entry_host& host) {
    if (host.name == self_.name) {
        return;
    }
    known_host& known = hosts_[host.name];
    known.host = host;
    known.last_announced_at = clock_.now();
    known.suspect_until = {};
    known.suspicion_period = {};
    known.heard = true;
    known.stopping_incarnation.reset();
    known.silent_reader = false;
}

void host_directory::on_leave(std::string_view name,
                              std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found != hosts_.end()) {
        // The host's row remains in the table, so removing the host would let
        // the next read of the table add it again. Instead, the host is kept
        // as stopping until the row expires.
        found->second.stopping_incarnation = incarnation;
    }
}

std::vector<entry_host> host_directory::peers() const {
    std::vector<entry_host> result;
    result.reserve(hosts_.size());
    for (const auto& [name, known] : hosts_) {
        result.push_back(known.host);
    }
    return result;
}

std::vector<entry_host> host_directory::domain_peers() const {
    auto result = peers();
    std::erase_if(result, [this](const entry_host& host) {
        return host.failure_domain != self_.failure_domain;
    });
    return result;
}

std::size_t host_directory::reader_rank() const {
    std::vector<std::string> names;
    for (const auto& [name, known] : hosts_) {
        if (known.host.failure_domain == self_.failure_domain &&
            is_usable(known) && !known.silent_reader) {
            names.push_back(name);
        }
    }
    return fleet_state::reader_rank(self_.name, names);
}

void host_directory::mark_silent_readers() {
    for (auto& [name, known] : hosts_) {
        const std::vector<std::string> other{name};
        known.silent_reader =
            known.silent_reader ||
            (known.host.failure_domain == self_.failure_domain &&
             fleet_state::reader_rank(self_.name, other) > 0);
    }
}

void host_directory::on_forwarded(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found != hosts_.end()) {
        found->second.silent_reader = false;
    }
}

std::vector<entry_host> host_directory::forwarding_targets(
    std::string_view origin) const {
    std::vector<entry_host> tree = domain_peers();
    tree.push_back(self_);
    std::ranges::sort(tree, {}, [&](const entry_host& host) {
        return std::tuple(host.name != origin, base::stable_hash(host.name),
                          host.name);
    });
    const auto own = std::ranges::find(tree, self_.name, &entry_host::name);
    const auto first = std::min(
        tree.size(),
        tree_degree * static_cast<std::size_t>(own - tree.begin()) + 1);
    const auto last = std::min(tree.size(), first + tree_degree);
    return {tree.begin() + static_cast<std::ptrdiff_t>(first),
            tree.begin() + static_cast<std::ptrdiff_t>(last)};
}

void host_directory::mark_suspect(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end()) {
        return;
    }
    known_host& known = found->second;
    known.suspicion_period =
        known.heard ? std::clamp<base::duration>(2 * known.suspicion_period,
                                                 initial_suspicion_period,
                                                 max_suspicion_period)
                    : base::duration(announcement_lifetime);
    known.suspect_until = clock_.now() + known.suspicion_period;
}

void host_directory::clear_suspicion(std::string_view name,
                                     std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end()) {
        return;
    }
    known_host& known = found->second;
    known.suspicion_period = {};
    known.suspect_until = {};
    known.heard = true;
    if (known.stopping_incarnation != incarnation) {
        known.stopping_incarnation.reset();
    }
}

const entry_host& host_directory::owner(std::string_view engine,
                                        std::string_view failure_domain) const {
    return owner(engine, failure_domain, {});
}

const entry_host& host_directory::owner(
    std::string_view engine, std::string_view failure_domain,
    const std::set<std::string, std::less<>>& excluded) const {
    const std::uint64_t key = base::stable_hash(engine);
    const entry_host* best = &self_;
    std::pair<bool, std::uint64_t> best_rank{
        self_.failure_domain == failure_domain,
        base::stable_hash(self_.name, key)};
    for (const auto& [name, known] : hosts_) {
        if (!is_usable(known) || excluded.contains(name)) {
            continue;
        }
        const std::pair<bool, std::uint64_t> rank{
            known.host.failure_domain == failure_domain,
            base::stable_hash(name, key)};
        if (rank > best_rank) {
            best = &known.host;
            best_rank = rank;
        }
    }
    return *best;
}

std::size_t host_directory::rank(std::string_view engine,
                                 std::string_view failure_domain) const {
    const std::uint64_t key = base::stable_hash(engine);
    const auto score = [&](const entry_host& host) {
        return std::pair(host.failure_domain == failure_domain,
                         base::stable_hash(host.name, key));
    };
    const auto own = score(self_);
    return static_cast<std::size_t>(std::ranges::count_if(
        hosts_,
        [&](const auto& entry) { return score(entry.second.host) > own; }));
}

std::size_t host_directory::host_count() const {
    return hosts_.size() + 1;
}

void host_directory::remove_expired() {
    const base::time_point now = clock_.now();
    std::erase_if(hosts_, [&](const auto& entry) {
        return now - entry.second.last_announced_at > announcement_lifetime;
    });
}

}  // namespace bronzehub::entry
