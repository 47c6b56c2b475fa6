// Which daemons of the fleet are alive, decided by SWIM-style probing.
//
// Each period a daemon probes one member, in an order that it shuffles after
// each round. A member that does not answer is probed through other members,
// then suspected, and declared dead when it does not object in time. News
// travels piggybacked on probes, so the cost per daemon hardly grows with the
// fleet. Dead members are remembered, so that old news cannot revive them, and
// probed at a low rate, so that the sides of a healed partition find each
// other.
//
// Decides only: the owner calls `tick` when it is due, passes received
// messages in and sends what the hooks give it. Membership is not agreement:
// two daemons may believe different things for seconds, and whatever must not
// be done twice needs a lease.
#ifndef BRONZEHUB_MEMBERSHIP_MEMBERSHIP_HPP
#define BRONZEHUB_MEMBERSHIP_MEMBERSHIP_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/member_table.hpp"
#include "membership/rendezvous.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::membership {

struct peer_address {
    base::host_id host;
    std::string address;
};

// One daemon as the platform's host list shows it.
struct listed_peer {
    peer_address peer;
    bool leaving = false;
};

struct membership_options {
    base::host_id host;
    std::string address;  // IP:port that other daemons connect to.
    base::failure_domain_id failure_domain;
    // Higher at each start, for example the wall clock in seconds. When it is
    // lower, the daemon learns its former incarnation from others and exceeds
    // it.
    std::uint64_t incarnation = 1;
    std::vector<peer_address> seeds;
    std::uint64_t random_seed = 1;

    base::duration period = std::chrono::milliseconds(500);
    // Time for a direct answer before other members are asked. Regions are up
    // to about 100 ms apart, and the rest of the period is for the indirect
    // answer.
    base::duration direct_timeout = std::chrono::milliseconds(200);
    std::size_t indirect_probes = 3;
    // Updates per message: bounds a message to about 2 KB. With 12, the news of
    // 60 daemons that start together or object after a partition queued for
    // longer than a suspicion lasts, and live members were declared dead.
    std::size_t updates_per_message = 32;
    // A tick this late means that the process was stopped.
    // Shorter than the time after which the others may declare it dead.
    base::duration frozen_after = std::chrono::milliseconds(1500);
    base::duration refresh_timeout = std::chrono::seconds(2);
    // Longer than news circulates; a host that comes back later is found
    // through the seeds and the host list.
    base::duration dead_retention = std::chrono::hours(1);
    // Views of the other side of a healed partition are not asked for more
    // often. Comparisons do not count: they do not revive a member.
    base::duration view_interval = std::chrono::seconds(2);
    // Time to the next comparison with a random member's view: the shortest
    // after a view that taught something, doubling up to the longest. A member
    // of a view is about 65 bytes, so the shortest grows with the fleet to keep
    // views under 8 KB/s.
    base::duration shortest_comparison = std::chrono::seconds(1);
    base::duration comparison_per_member = std::chrono::milliseconds(8);
    base::duration longest_comparison = std::chrono::seconds(60);
};

struct member_change {
    const member& now;
    std::optional<member_state> before;  // Nothing for a new member.
};

struct membership_hooks {
    std::function<void(const peer_address& to, protocol::body content)> send;
    // A member is new or its state changed. Also called for this daemon when
    // the host list marks it as leaving.
    std::function<void(const member_change&)> on_change = [](const auto&) {};
    // A member was seen with a higher configuration version.
    std::function<void(const member&)> on_configuration_version =
        [](const auto&) {};
};

// Counts since the start.
struct membership_counters {
    std::uint64_t probes = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t suspicions = 0;  // By this daemon's own probing.
    std::uint64_t deaths = 0;
    std::uint64_t objections = 0;  // Own incarnation raised.
    std::uint64_t views_requested = 0;
    std::uint64_t resumptions = 0;  // Ticks that came very late.
};

// Not thread-safe; belongs to the decision thread. Hooks are called from
// within its functions and must not call back into it.
class membership {
public:
    membership(membership_options options, base::clock time,
               membership_hooks hooks);

    // Contacts the seeds. Call once.
    void start();

    // Does what is due. Call at `next_due` or more often.
    void tick();
    base::time_point next_due() const;

    // Handles probe, probe_ack and probe_request; ignores other messages.
    void receive(const protocol::sender& from, const protocol::body& content);

    // Adds hosts that are not known and believes `leaving` at once. A host that
    // is missing from the list is not affected: the list lags.
    void merge_host_list(std::span<const listed_peer> hosts);

    // The version that this daemon announces with each message.
    void set_configuration_version(std::uint64_t version);

    // Announces that this daemon drains. Cannot be undone.
    void leave();

    // This daemon, and every other member that is remembered.
    const member& self() const { return self_; }
    const std::map<base::host_id, member>& members() const {
        return table_.all();
    }
    const member* find(const base::host_id& host) const {
        return table_.find(host);
    }

    // Hosts for `assign_dispatchers`: this daemon and all live members.
    std::vector<dispatch_host> dispatch_hosts() const;

    // True after a stop of the process, until a peer has sent its view or none
    // answered in time. The old view must not be acted upon meanwhile.
    bool is_refreshing() const { return refresh_until_.has_value(); }

    const membership_counters& counters() const { return counters_; }

private:
    struct direct_probe {
        std::uint64_t id = 0;
        base::host_id host;
        base::time_point sent;
        bool asked_others = false;
        bool answered = false;
    };
    struct suspicion {
        base::time_point end;
        base::time_point next_check;
    };
    // A probe on behalf of another member.
    struct relayed_probe {
        peer_address requester;
        std::uint64_t requester_probe_id = 0;
        base::time_point expires;
    };

    // Periodic work.
    void detect_stop(base::time_point now);
    void ask_others(base::time_point now);
    void check_suspects(base::time_point now);
    void expire_suspicions(base::time_point now);
    void run_period(base::time_point now);
    void compare_views(base::time_point now);
    void compare_soon(base::time_point now);
    void after_view(bool taught);
    void suspect_unanswered();
    void probe_next(base::time_point now);
    void probe_dead();
    void probe_candidate();
    std::optional<base::host_id> next_probe_target();
    void refill_probe_order();

    // Messages.
    void on_probe(const peer_address& from, const protocol::probe& content);
    void on_ack(const base::host_id& from, const protocol::probe_ack& content);
    void on_probe_request(const peer_address& from,
                          const protocol::probe_request& content);
    void send_probe(const peer_address& to, std::uint64_t id, bool full_view);
    void request_view(const peer_address& from, claim_source trust);
    std::vector<member_update> updates_for(const base::host_id& receiver);
    std::vector<member_update> full_view() const;
    std::optional<peer_address> address_of(const base::host_id& host) const;

    // Beliefs.
    bool apply_all(std::span<const member_update> claims, claim_source source,
                   const base::host_id& sender);
    bool apply(const member_update& claim, claim_source source);
    void after_change(const claim_result& result, base::time_point now);
    void apply_own(const member_update& claim, bool other_side);
    bool is_minority() const;
    void mark_leaving();
    void tell_some(std::size_t count);
    void probe_soon(const base::host_id& host);
    void on_contact(const base::host_id& host, bool was_dead);
    std::vector<peer_address> random_live(std::size_t count,
                                          const base::host_id& except);
    base::duration suspicion_timeout() const;
    base::duration shortest_comparison() const;
    suspicion new_suspicion(base::time_point now) const;
    std::size_t transmissions() const;
    std::size_t live_others() const { return table_.live_count(); }

    membership_options options_;
    base::clock time_;
    membership_hooks hooks_;
    std::mt19937_64 random_;
    member self_;
    member_table table_;
    gossip_queue news_;
    membership_counters counters_;

    base::time_point last_tick_;
    base::time_point next_period_;
    std::uint64_t periods_ = 0;
    std::uint64_t next_probe_id_ = 1;
    std::optional<direct_probe> current_;
    std::deque<base::host_id> probe_order_;
    std::deque<base::host_id> urgent_;  // Probed before `probe_order_`.
    std::map<base::host_id, suspicion> suspicions_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::map<std::uint64_t, claim_source> requested_views_;
    std::optional<base::time_point> refresh_until_;
    std::optional<base::time_point> last_healed_request_;
    double dead_probe_credit_ = 0;
    base::host_id last_dead_probed_;
    std::vector<peer_address> candidates_;  // Seeds and listed hosts.
    std::size_t next_candidate_ = 0;
    base::time_point next_comparison_;
    base::duration comparison_wait_{};
    bool joined_ = false;
};

}  // namespace bronzehub::membership

#endif
