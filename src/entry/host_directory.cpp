#include "entry/host_directory.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.hpp"
#include "fleet_state/read_duty.hpp"

namespace bronzehub::entry {

using nlohmann::json;

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
    return entry_host{std::string(name), row["address"].get<std::string>(),
                      row["failure_domain"].get<std::string>()};
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
}

void host_directory::on_leave(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found != hosts_.end()) {
        // The host's row remains in the table, so removing the host would let
        // the next read of the table add it again. Instead, the host stays
        // suspect until the row expires.
        found->second.suspect_until = clock_.now() + announcement_lifetime;
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
            known.suspect_until <= clock_.now()) {
            names.push_back(name);
        }
    }
    return fleet_state::reader_rank(self_.name, names);
}

void host_directory::mark_suspect(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end()) {
        return;
    }
    known_host& known = found->second;
    known.suspicion_period = std::clamp<base::duration>(
        2 * known.suspicion_period, initial_suspicion_period,
        max_suspicion_period);
    known.suspect_until = clock_.now() + known.suspicion_period;
}

void host_directory::clear_suspicion(std::string_view name) {
    const auto found = hosts_.find(name);
    if (found != hosts_.end()) {
        found->second.suspicion_period = {};
        found->second.suspect_until = {};
    }
}

const entry_host& host_directory::owner(std::string_view engine,
                                        std::string_view failure_domain) const {
    return owner(engine, failure_domain, {});
}

const entry_host& host_directory::owner(
    std::string_view engine, std::string_view failure_domain,
    const std::set<std::string, std::less<>>& excluded) const {
    const base::time_point now = clock_.now();
    const std::uint64_t key = base::stable_hash(engine);
    const entry_host* best = &self_;
    std::pair<bool, std::uint64_t> best_rank{
        self_.failure_domain == failure_domain,
        base::stable_hash(self_.name, key)};
    for (const auto& [name, known] : hosts_) {
        if (known.suspect_until > now || excluded.contains(name)) {
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
