// Places on engines: asked for by the host that holds the caller, granted by
// the host that owns the engine's schedule.
//
// Both sides are here. The decisions are those of `engine_scheduler` and
// `host_directory`; this class carries them over datagrams, asks again when
// one is lost and turns to the next owner when a host stays silent.
#ifndef BRONZEHUB_ENTRY_SCHEDULE_LINK_HPP
#define BRONZEHUB_ENTRY_SCHEDULE_LINK_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "entry/event_loop.hpp"
#include "entry/host_directory.hpp"
#include "entry/schedule_messages.hpp"
#include "overload/engine_scheduler.hpp"

namespace bronzehub::entry {

struct slot_request {
    std::string engine;
    // Id of the engine's backend server.
    std::string server;
    std::string failure_domain;
    overload::engine_capacity options;
    // `id` is filled in.
    overload::scheduled_request work;
};

struct slot_response {
    std::uint64_t number = 0;
    bool granted = false;
    base::duration retry_after{};
    // The host that decided.
    std::string owner;
};

// Sends a datagram to "IP:port".
using datagram_sender =
    std::function<void(const std::string& address, std::string_view bytes)>;

// Timers of the owning loop; tests run them by hand.
struct timer_hooks {
    std::function<base::timer_id(base::duration, std::function<void()>)> after;
    std::function<void(base::timer_id)> cancel;
};

// Not thread-safe.
class schedule_link {
public:
    // An ask without an answer is sent again after this time. A round trip
    // takes a few ms; a host of a fraction of a core may stall for 100 ms.
    static constexpr std::chrono::milliseconds ask_again_after{60};
    // A host that left an ask unanswered for this long is passed over.
    static constexpr std::chrono::milliseconds silent_after{150};
    static constexpr std::chrono::milliseconds inventory_interval{500};
    // Work of a host that listed nothing for this long is taken as ended.
    static constexpr std::chrono::milliseconds host_lost_after{2500};
    // A grant may be on its way while an inventory is.
    static constexpr std::chrono::milliseconds grant_in_flight{300};

    // How long a refused ask speaks against the next one. An engine frees a
    // slot about this often.
    static constexpr std::chrono::milliseconds full_hint_lifetime{60};
    // Waiting work whose answer is out this long after its latest start: the
    // owner or the answer was lost.
    static constexpr std::chrono::milliseconds answer_in_flight{100};
    // What its caller is told then.
    static constexpr std::chrono::milliseconds answer_lost_retry{500};

    using answer_hook = std::function<void(const slot_response&)>;

    schedule_link(host_directory& hosts, const overload::fleet_shares& shares,
                  base::clock clock, timer_hooks timers, datagram_sender send,
                  std::uint64_t incarnation);

    // Asks for a place. The answer comes exactly once, possibly before the
    // function returns, unless `release` is called first.
    std::uint64_t request_slot(slot_request request, answer_hook on_answer);

    // The first event of granted work came this long after its grant.
    void first_event(std::uint64_t number, base::duration since_grant,
                     bool in_time);

    // Whether a place on this server was refused so lately that asking again is
    // hardly worth it.
    bool was_recently_refused(std::string_view server) const;

    // Gives the place back, or withdraws the ask.
    void release(std::uint64_t number);

    // A message of one of the types that this class sends; others are ignored.
    void on_message(const std::string& from, const host_message& message);

    // Refuses waiting work that can't start in time. Every few ms.
    void tick();
    // Lists running work to the owners and drops lost hosts. Every
    // `inventory_interval`.
    void send_inventory();

    // Forgets the schedules of engines for which `is_known` is false.
    void remove_unknown_engines(
        const std::function<bool(std::string_view)>& is_known);

    struct statistics {
        std::uint64_t requests = 0;
        std::uint64_t remote_requests = 0;
        std::uint64_t repeated_requests = 0;
        std::uint64_t owners_passed_over = 0;
        std::uint64_t lost_responses = 0;
        std::uint64_t running = 0;
        std::uint64_t waiting = 0;
        std::uint64_t schedules = 0;
    };
    statistics read_statistics() const;

private:
    struct pending {
        slot_request request;
        answer_hook on_answer;
        entry_host owner;
        bool granted = false;
        bool started = false;
        bool repeated = false;
        base::time_point asked_at;
        std::optional<base::timer_id> timer;
    };

    overload::engine_scheduler& schedule_of(const std::string& engine,
                                            overload::engine_capacity options);
    void send_ask(std::uint64_t number);
    void watch_answer(std::uint64_t number);
    void watch_wait(std::uint64_t number);
    void ask_local(std::uint64_t number);
    void on_answer(std::uint64_t number, overload::engine_decision decision,
                   base::duration retry_after);
    void on_ask(const std::string& from, const host_message& message);
    void on_inventory(const std::string& from, const host_message& message);
    scheduled_request_message encode_work(std::uint64_t number,
                                          const pending& entry) const;
    overload::scheduled_request decode_work(
        const std::string& host, const scheduled_request_message& from) const;
    void send_message(const std::string& address, host_message message);
    void answer(const overload::scheduled_request_id& id,
                const std::string& engine, overload::engine_decision decision,
                base::duration retry_after);

    host_directory& hosts_;
    const overload::fleet_shares& shares_;
    base::clock clock_;
    timer_hooks timers_;
    datagram_sender send_;
    std::uint64_t incarnation_;
    std::uint64_t next_number_ = 1;
    std::unordered_map<std::uint64_t, pending> pending_;
    std::map<std::string, std::unique_ptr<overload::engine_scheduler>,
             std::less<>>
        schedules_;

    struct remote_host {
        std::string address;
        base::time_point listed_at;
    };
    // By host name and incarnation, as in the ids of work.
    std::map<std::string, remote_host> remotes_;
    // By server id: when a place was last refused.
    std::map<std::string, base::time_point, std::less<>> refused_at_;
    statistics statistics_;
};

}  // namespace bronzehub::entry

#endif
