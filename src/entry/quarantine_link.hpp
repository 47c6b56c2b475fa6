// Keeps requests away from engines that their prompt segments would end.
//
// Each host reports the engines that ended under its requests to an arbiter,
// one host of the fleet, which attributes them to segments
// (`overload::crash_attribution`). The arbiter sends the suspect and the
// quarantined segments to all hosts and grants the trials of restricted ones.
//
// The arbiter is chosen by rendezvous hashing, like the owner of an engine. A
// host that gets no response chooses the next one, so that a failure domain
// that is cut off decides by itself. Two arbiters at the same time do no harm:
// hosts take suspects from the one that they report to and quarantined segments
// from any.
//
// Quarantined segments are kept in the store, where hosts read them that start
// while no other host knows them. This class does no I/O.
#ifndef BRONZEHUB_ENTRY_QUARANTINE_LINK_HPP
#define BRONZEHUB_ENTRY_QUARANTINE_LINK_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/host_directory.hpp"
#include "entry/schedule_link.hpp"
#include "entry/schedule_messages.hpp"
#include "overload/crash_attribution.hpp"

namespace bronzehub::entry {

// Whether a request may be sent to an engine.
enum class segment_clearance : std::uint8_t {
    // None of its segments is restricted.
    unrestricted,
    // A segment is restricted; the request was chosen for a trial.
    trial,
    // A segment is quarantined.
    quarantined,
    // A segment is restricted, and the request got no trial in time.
    timed_out,
};

struct quarantine_hooks {
    datagram_sender send;
    // Reads what the store has; `on_store_read` follows if that succeeds.
    std::function<void()> read_store;
    // Writes a segment to the store; `on_stored` follows if that succeeds.
    std::function<void(overload::segment_id, base::duration lifetime)> store;
    // A segment was found to end engines, or another host told so.
    // `source` is the host that did, or "store".
    std::function<void(overload::segment_id, std::string_view source)>
        on_quarantined;
};

// Not thread-safe.
class quarantine_link {
public:
    using clearance_callback = std::function<void(segment_clearance)>;
    using segment_span = std::span<const overload::segment_id>;

    static constexpr std::chrono::hours quarantine_lifetime{24};
    // An arbiter that has not responded after this time is replaced, and not
    // chosen again for the second time.
    static constexpr std::chrono::milliseconds response_timeout{300};
    static constexpr std::chrono::seconds unresponsive_period{5};
    // Reports that got no response after this number of attempts are dropped.
    static constexpr int max_attempts = 6;
    // A host that waits for a trial asks again after this time, because the
    // grant may have been lost.
    static constexpr std::chrono::milliseconds trial_request_interval{300};
    // The arbiter waits this long between two tables that it sends to all
    // hosts: the first time, and the second for each host.
    static constexpr std::chrono::milliseconds min_publish_interval{20};
    static constexpr std::chrono::milliseconds publish_interval_per_host{1};
    // Interval of repeated tables while there are segments in them.
    static constexpr std::chrono::seconds refresh_interval{5};
    // Delay between attempts to store a segment or to read the store.
    static constexpr std::chrono::milliseconds store_retry_delay{1000};
    // Delay between requests for the table of another host at the start.
    static constexpr std::chrono::milliseconds start_request_interval{50};
    // Time after which a host that starts reads the store in any case.
    static constexpr std::chrono::milliseconds max_start_wait{800};
    // Oldest quarantined segments beyond this number are forgotten.
    static constexpr std::size_t max_quarantined = 256;
    static constexpr std::size_t max_pending_reports = 256;

    quarantine_link(host_directory& hosts, base::clock clock,
                    std::uint64_t incarnation, quarantine_hooks hooks);

    // Whether this host knows what the store has. Before that, no request with
    // shared segments may be sent.
    bool is_complete() const { return complete_; }

    // Time until the last of the quarantines of these segments ends; zero if
    // none is quarantined.
    base::duration quarantined_for(segment_span segments) const;
    // The quarantined segments, in ascending order.
    std::vector<overload::segment_id> quarantined_segments() const;
    // Whether a request needs `wait_for_clearance` before it may be sent.
    bool needs_clearance(segment_span segments) const;

    // Returns the number of a wait or trial.
    std::uint64_t next_trial_number() { return next_trial_++; }
    // Calls `done` once, possibly before this function returns, when a request
    // with these segments may be sent, at the deadline at the latest.
    void wait_for_clearance(std::uint64_t trial,
                            std::vector<overload::segment_id> segments,
                            base::time_point deadline, clearance_callback done);
    // Ends the wait or the trial, if it has not ended yet.
    void end_trial(std::uint64_t trial);

    // Handles the end of an engine before the first event of a request.
    void on_crash(overload::engine_crash crash);
    // Handles the first event of a request.
    void on_first_event(segment_span segments);

    void on_store_read(
        std::span<const std::pair<overload::segment_id, base::duration>>
            remaining);
    void on_stored(overload::segment_id segment);

    // Sends what is due. To be called every few ten milliseconds.
    void tick();

    // Handles messages of the types that this class sends; ignores others.
    void on_message(const std::string& from, const host_message& message);

    struct statistics {
        std::size_t suspects = 0;
        std::size_t quarantined = 0;
        std::size_t waiting = 0;
        std::uint64_t trials = 0;
        std::uint64_t crashes_reported = 0;
        std::uint64_t arbiters_passed_over = 0;
    };
    statistics read_statistics() const;

private:
    struct quarantine {
        base::time_point ends_at;
        bool stored = false;
    };

    struct waiting_request {
        std::vector<overload::segment_id> segments;
        base::time_point deadline;
        clearance_callback done;
        // When a trial was last requested.
        std::optional<base::time_point> requested_at;
    };

    struct pending_report {
        segment_report_message report;
        // When the first attempt was made, and where the last one went.
        base::time_point created_at;
        base::time_point sent_at;
        std::string arbiter;
        int attempts = 0;
    };

    // A trial that this host, as arbiter, could not grant yet.
    struct queued_trial {
        overload::trial_key key;
        std::string address;
        std::vector<overload::segment_id> segments;
        base::time_point expires_at;
    };

    const entry_host& arbiter();
    // Whether other hosts may have chosen this one, as they report to it.
    bool acts_as_arbiter() const;
    bool is_arbiter() { return arbiter().name == hosts_.self().name; }
    bool is_restricted(overload::segment_id segment) const;
    // Decides the waiting requests for which that is possible now.
    void decide_waiting();
    void finish_wait(std::uint64_t trial, segment_clearance clearance);
    void report(segment_report_message report);
    void send_report(pending_report& pending);
    void resend_reports();

    // Acts as the arbiter.
    void on_report(const std::string& host, const std::string& address,
                   const segment_report_message& report);
    void request_as_arbiter(queued_trial request);
    void grant_queued_trials();
    void grant(const overload::trial_key& key, const std::string& address);
    segment_table_message make_table();
    void publish_if_due();

    void on_table(const std::string& host, const segment_table_message& table);
    void add_quarantine(overload::segment_id segment, base::duration remaining,
                        bool stored, std::string_view source);
    void store_quarantined();
    // Gets the quarantined segments from the arbiter or from the store.
    void learn_quarantined();
    void send(const std::string& address, const segment_report_message& report);
    void send(const std::string& address, const segment_table_message& table);
    host_message make_message(message_type type) const;

    host_directory& hosts_;
    base::clock clock_;
    std::uint64_t incarnation_;
    quarantine_hooks hooks_;
    bool complete_ = false;
    base::time_point started_at_;
    base::time_point last_start_request_{};
    base::time_point last_store_read_{};

    // What this host knows of the fleet.
    std::map<overload::segment_id, std::uint32_t> suspects_;
    std::map<overload::segment_id, quarantine> quarantines_;

    // Requests of this host.
    std::map<std::uint64_t, waiting_request> waiting_;
    // Segments of the trials that were granted and have not ended.
    std::map<std::uint64_t, std::vector<overload::segment_id>> trials_;
    std::uint64_t next_trial_ = 1;
    std::deque<pending_report> pending_;
    std::uint64_t next_report_ = 1;
    // Arbiters that did not respond, until when they are not chosen.
    std::map<std::string, base::time_point, std::less<>> unresponsive_;

    // State as arbiter.
    overload::crash_attribution attribution_;
    std::deque<queued_trial> queued_trials_;
    std::optional<base::time_point> last_report_at_;
    bool changed_ = false;
    base::time_point last_published_at_{};
    base::time_point last_store_write_{};

    std::uint64_t trial_count_ = 0;
    std::uint64_t crashes_reported_ = 0;
    std::uint64_t arbiters_passed_over_ = 0;
};

}  // namespace bronzehub::entry

#endif
