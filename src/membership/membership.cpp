#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzehub::membership {
namespace {

using std::chrono::milliseconds;

// Bounds how often `tick` is due.
constexpr base::duration least_interval = milliseconds(20);

// A leaving daemon tells this many members itself; news reach the others.
constexpr std::size_t leaving_fan_out = 8;

// An objection must arrive everywhere before the suspicion ends.
constexpr std::size_t objection_fan_out = 3;

}  // namespace

membership::membership(membership_options options, base::clock time,
                       membership_hooks hooks)
    : options_(std::move(options)),
      time_(std::move(time)),
      hooks_(std::move(hooks)),
      random_(options_.random_seed),
      last_tick_(time_.now()),
      next_period_(last_tick_ + options_.period),
      candidates_(options_.seeds) {
    self_.host = options_.host;
    self_.address = options_.address;
    self_.failure_domain = options_.failure_domain;
    self_.incarnation = options_.incarnation;
    self_.since = last_tick_;
    std::ranges::shuffle(candidates_, random_);
}

void membership::start() {
    for (std::size_t i = 0; i < options_.indirect_probes; ++i) {
        probe_candidate();
    }
}

void membership::tick() {
    const base::time_point now = time_.now();
    detect_stop(now);
    ask_others(now);
    check_suspects(now);
    expire_suspicions(now);
    if (now >= next_period_) {
        run_period(now);
    }
}

base::time_point membership::next_due() const {
    base::time_point due = next_period_;
    if (current_ && !current_->answered && !current_->asked_others) {
        due = std::min(due, current_->sent + options_.direct_timeout);
    }
    for (const auto& [host, doubt] : suspicions_) {
        due = std::min({due, doubt.end, doubt.next_check});
    }
    // A suspicion that is prolonged is looked at again in each period.
    return std::max(due, std::min(next_period_, last_tick_ + least_interval));
}

void membership::receive(const protocol::sender& from,
                         const protocol::body& content) {
    if (from.host == self_.host) {
        return;
    }
    const bool was_dead = table_.is_dead(from.host);
    if (const auto* ack = std::get_if<protocol::probe_ack>(&content)) {
        on_ack(from.host, *ack);
    } else if (const auto* probe = std::get_if<protocol::probe>(&content)) {
        apply_all(probe->updates, claim_source::gossip, from.host);
        if (const auto sender = address_of(from.host)) {
            on_probe(*sender, *probe);
        }
    } else if (const auto* request =
                   std::get_if<protocol::probe_request>(&content)) {
        apply_all(request->updates, claim_source::gossip, from.host);
        if (const auto sender = address_of(from.host)) {
            on_probe_request(*sender, *request);
        }
    } else {
        return;
    }
    on_contact(from.host, was_dead);
}

void membership::on_contact(const base::host_id& host, bool was_dead) {
    const member* sender = find(host);
    if (sender == nullptr) {
        return;
    }
    const bool may_ask =
        !last_healed_request_ ||
        time_.now() - *last_healed_request_ >= options_.view_interval;
    // Contact with a member that was held dead means that a partition healed:
    // its view tells which members of its side are alive.
    if (was_dead && may_ask) {
        last_healed_request_ = time_.now();
        request_view({host, sender->address}, claim_source::healed_view);
    }
    // It is alive, so it gets the chance to object before the suspicion ends.
    if (sender->state == member_state::suspect) {
        probe_soon(host);
    }
}

void membership::probe_soon(const base::host_id& host) {
    if (std::ranges::find(urgent_, host) == urgent_.end()) {
        urgent_.push_back(host);
    }
}

void membership::on_probe(const peer_address& from,
                          const protocol::probe& content) {
    if (content.target != self_.host) {
        return;
    }
    // A view that is known to be old would revive members that died.
    const bool stale =
        is_refreshing() || time_.now() - last_tick_ > options_.frozen_after;
    const bool view = content.full_view && !stale;
    hooks_.send(from, protocol::probe_ack{
                          content.probe_id, self_.host,
                          view ? full_view() : updates_for(from.host), view});
}

void membership::on_ack(const base::host_id& from,
                        const protocol::probe_ack& content) {
    const auto requested = requested_views_.find(content.probe_id);
    const bool view = content.full_view && requested != requested_views_.end();
    const bool taught = apply_all(
        content.updates, view ? requested->second : claim_source::gossip, from);
    if (view) {
        requested_views_.erase(requested);
        after_view(taught);
    }
    if (current_ && current_->id == content.probe_id &&
        current_->host == content.target) {
        current_->answered = true;
    }
    const auto relay = relayed_.find(content.probe_id);
    if (relay != relayed_.end()) {
        const relayed_probe request = relay->second;
        relayed_.erase(relay);
        hooks_.send(
            request.requester,
            protocol::probe_ack{request.requester_probe_id, content.target,
                                updates_for(request.requester.host)});
    }
}

void membership::on_probe_request(const peer_address& from,
                                  const protocol::probe_request& content) {
    const auto target = address_of(content.target);
    if (!target) {
        return;
    }
    relayed_[next_probe_id_] = {from, content.probe_id,
                                time_.now() + options_.period};
    send_probe(*target, next_probe_id_++, false);
}

void membership::send_probe(const peer_address& to, std::uint64_t id,
                            bool full_view) {
    hooks_.send(to,
                protocol::probe{id, to.host, updates_for(to.host), full_view});
}

void membership::request_view(const peer_address& from, claim_source trust) {
    ++counters_.views_requested;
    // Unanswered requests are few: requests are limited in rate, and hosts
    // that never answer make them the only entries.
    constexpr std::size_t most_open_requests = 64;
    if (requested_views_.size() >= most_open_requests) {
        requested_views_.erase(requested_views_.begin());
    }
    requested_views_[next_probe_id_] = trust;
    send_probe(from, next_probe_id_++, true);
}

// This daemon itself, then what is believed of the receiver unless that is
// `alive`, so that it can object, then news.
std::vector<member_update> membership::updates_for(
    const base::host_id& receiver) {
    std::vector<member_update> updates{to_update(self_)};
    const member* known = table_.find(receiver);
    if (known != nullptr && known->state != member_state::alive) {
        updates.push_back(to_update(*known));
    }
    const std::size_t free = options_.updates_per_message - updates.size();
    for (const base::host_id& host :
         news_.take(free, transmissions(), receiver)) {
        if (const member* subject = find(host)) {
            updates.push_back(to_update(*subject));
        }
    }
    return updates;
}

std::vector<member_update> membership::full_view() const {
    std::vector<member_update> updates{to_update(self_)};
    updates.reserve(table_.all().size() + 1);
    for (const auto& [host, each] : table_.all()) {
        updates.push_back(to_update(each));
    }
    return updates;
}

std::optional<peer_address> membership::address_of(
    const base::host_id& host) const {
    const member* known = table_.find(host);
    return known == nullptr ? std::nullopt
                            : std::optional(peer_address{host, known->address});
}

// Returns whether a claim about another member changed a belief.
bool membership::apply_all(std::span<const member_update> claims,
                           claim_source source, const base::host_id& sender) {
    const bool other_side = table_.is_dead(sender);
    bool taught = false;
    for (const member_update& claim : claims) {
        if (claim.host == self_.host) {
            apply_own(claim, other_side);
        } else {
            taught = apply(claim, source) || taught;
        }
    }
    return taught;
}

bool membership::apply(const member_update& claim, claim_source source) {
    const base::time_point now = time_.now();
    const claim_result result = table_.apply(claim, source, now);
    if (result.contradicted) {
        probe_soon(claim.host);
    }
    if (result.version_raised) {
        hooks_.on_configuration_version(*result.subject);
    }
    if (result.changed) {
        after_change(result, now);
    }
    return result.changed || result.contradicted;
}

void membership::after_change(const claim_result& result,
                              base::time_point now) {
    const member& subject = *result.subject;
    if (subject.state == member_state::suspect) {
        suspicions_.try_emplace(subject.host, new_suspicion(now));
    } else {
        suspicions_.erase(subject.host);
    }
    if (result.pass_on) {
        news_.add(subject.host);
    }
    // One that returns may be the first of its side of a partition.
    if (result.before == member_state::dead && table_.dead_count() > 0) {
        compare_soon(now);
    }
    // Members that come up are probed within the current round.
    if ((!result.before || *result.before == member_state::dead) &&
        subject.is_live()) {
        const std::size_t place = random_() % (probe_order_.size() + 1);
        probe_order_.insert(
            probe_order_.begin() + static_cast<std::ptrdiff_t>(place),
            subject.host);
    }
    const bool learnt_dead =
        !result.before && subject.state == member_state::dead;
    if (result.before == subject.state || learnt_dead) {
        return;
    }
    counters_.deaths += subject.state == member_state::dead ? 1 : 0;
    hooks_.on_change({subject, result.before});
}

// What others believe of this daemon. When it is wrong, or belongs to the life
// before a restart, an incarnation above theirs corrects it.
void membership::apply_own(const member_update& claim, bool other_side) {
    const bool newer = claim.incarnation > self_.incarnation;
    const bool same = claim.incarnation == self_.incarnation;
    if (same && claim.state == member_state::leaving) {
        // The host list marked this daemon, and others read it first.
        mark_leaving();
        return;
    }
    // When the sides of a partition meet, they exchange views. Were every
    // member to object as well, the news of a large fleet would queue for
    // longer than a suspicion lasts.
    const bool left_to_views =
        claim.state == member_state::dead && other_side && !is_minority();
    const bool doubted = claim.state == member_state::suspect ||
                         claim.state == member_state::dead;
    if (newer || (same && doubted && !left_to_views)) {
        self_.incarnation = claim.incarnation + 1;
        ++counters_.objections;
        tell_some(objection_fan_out);
    }
}

// Whether most members that are remembered are held dead: then this daemon is
// more likely to be cut off than they are to be dead.
bool membership::is_minority() const {
    return table_.dead_count() > table_.live_count() + 1;
}

void membership::merge_host_list(std::span<const listed_peer> hosts) {
    candidates_ = options_.seeds;
    for (const listed_peer& listed : hosts) {
        candidates_.push_back(listed.peer);
        const member* known = find(listed.peer.host);
        if (listed.leaving && listed.peer.host == self_.host) {
            mark_leaving();
        } else if (listed.leaving && known != nullptr) {
            member_update claim = to_update(*known);
            claim.state = member_state::leaving;
            apply(claim, claim_source::gossip);
        }
    }
}

void membership::set_configuration_version(std::uint64_t version) {
    self_.configuration_version = version;
}

void membership::mark_leaving() {
    if (!self_.leaving) {
        leave();
        hooks_.on_change({self_, member_state::alive});
    }
}

void membership::leave() {
    self_.state = member_state::leaving;
    self_.leaving = true;
    self_.since = time_.now();
    tell_some(leaving_fan_out);
}

// Sends this daemon's own state at once instead of with the next probes.
void membership::tell_some(std::size_t count) {
    for (const peer_address& peer : random_live(count, "")) {
        send_probe(peer, next_probe_id_++, false);
    }
}

std::vector<dispatch_host> membership::dispatch_hosts() const {
    std::vector<dispatch_host> hosts{
        {self_.host, self_.failure_domain, self_.leaving}};
    for (const auto& [host, each] : table_.all()) {
        if (each.is_live()) {
            hosts.push_back({host, each.failure_domain, each.leaving});
        }
    }
    return hosts;
}

std::vector<peer_address> membership::random_live(std::size_t count,
                                                  const base::host_id& except) {
    std::vector<peer_address> live;
    for (const auto& [host, each] : table_.all()) {
        if (each.is_live() && host != except) {
            live.push_back({host, each.address});
        }
    }
    std::vector<peer_address> chosen;
    std::ranges::sample(live, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(count), random_);
    return chosen;
}

// News needs a time that grows with the logarithm of the fleet to reach the
// suspected member and for its objection to return.
base::duration membership::suspicion_timeout() const {
    constexpr double periods_per_decade = 1.5;
    constexpr double least_periods = 2;
    const double decades = std::log10(static_cast<double>(live_others() + 2));
    return options_.period *
           static_cast<int>(std::max(least_periods,
                                     std::ceil(periods_per_decade * decades)));
}

std::size_t membership::transmissions() const {
    constexpr double transmissions_per_decade = 3;
    const double decades = std::log10(static_cast<double>(live_others() + 2));
    return 1 + static_cast<std::size_t>(
                   std::ceil(transmissions_per_decade * decades));
}

}  // namespace bronzehub::membership
