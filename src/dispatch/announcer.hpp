// Tells the dispatchers of a service how many calls wait at this daemon.
//
// Counts are sent when they matter: when a queue fills from empty, when it
// empties, when the dispatcher has granted all that it was told of, and
// otherwise, with a delay, when a count has changed by a factor of two. The
// dispatchers at which a queue is announced are those of the own failure
// domain first; their number doubles while the work still waits, so that a
// call which is served at once does not cost a message to every daemon.
#ifndef BRONZEHUB_DISPATCH_ANNOUNCER_HPP
#define BRONZEHUB_DISPATCH_ANNOUNCER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "accounting/work_key.hpp"
#include "base/strong_id.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::dispatch {

struct announcer_options {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::size_t first_fan_out = 3;
};

// Not thread-safe. The send hook may call back into the object.
class announcer {
public:
    using count_hook =
        std::function<protocol::waiting_row(const accounting::work_key&)>;
    using send_hook = std::function<void(const base::host_id&, protocol::body)>;

    // `count` returns the present state of a queue.
    announcer(announcer_options options, count_hook count, send_hook send);

    // Replaces all routes. Returns the hosts that gained a backend server.
    std::vector<base::host_id> set_routes(
        std::span<const dispatch_route> routes);

    bool has_dispatcher(base::service_id service) const;
    std::optional<base::host_id> dispatcher_of(
        base::backend_server_id server) const;

    // Every dispatching host, in order of name.
    const std::set<base::host_id>& hosts() const { return hosts_; }

    // Whether the host knows of waiting calls, so that grants may be under
    // way from it.
    bool may_grant(const base::host_id& host) const;

    // A queue's count changed. Sends what cannot wait.
    void changed(const accounting::work_key& key);

    // A dispatcher granted one call of those it was told of.
    void granted(const accounting::work_key& key,
                 const protocol::sender& dispatcher, std::uint64_t grant_id);

    // A grant was declined. Calls that still wait are announced with the next
    // flush: announced at once, they would be granted and declined in a loop
    // for as long as no backend server is acceptable to them.
    void declined(const accounting::work_key& key);

    // Sends the changes that could wait and widens the fan-out.
    void flush();

    // Sends each dispatching host the rows of its services. Their counts of
    // waiting calls take the place of an announcement.
    void send_usage(const protocol::usage_report& report);

private:
    // The newest grant that arrived from a dispatcher.
    struct seen_grant {
        std::uint64_t incarnation = 0;
        std::uint64_t id = 0;
    };
    struct queue_state {
        std::map<base::host_id, std::uint32_t> announced;
        std::map<base::host_id, seen_grant> seen;
        std::size_t fan_out = 0;  // 0 while the queue is empty.
    };

    bool must_hear_now(const queue_state& queue, const base::host_id& host,
                       std::size_t rank, std::uint32_t waiting) const;
    static std::uint64_t last_grant(const queue_state& queue,
                                    const base::host_id& host);
    void announce(const accounting::work_key& key, const base::host_id& host);
    void collect(const accounting::work_key& key, queue_state& queue,
                 std::map<base::host_id, protocol::work_announcement>& out);

    announcer_options options_;
    count_hook count_;
    send_hook send_;
    std::map<base::backend_server_id, dispatch_route> routes_;
    // Dispatching hosts in order of preference.
    std::map<base::service_id, std::vector<base::host_id>> by_service_;
    std::set<base::host_id> hosts_;
    std::map<accounting::work_key, queue_state> queues_;
    std::set<accounting::work_key> dirty_;
};

}  // namespace bronzehub::dispatch

#endif
