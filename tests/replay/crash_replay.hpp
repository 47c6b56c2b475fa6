// Replays the load of a fleet while requests with one prompt segment end the
// engines that run them, with the real quarantine of prompt segments on the
// paused clock.
//
// Engines are simple: a request gets its first event after a fixed time, or
// ends the engine then, which starts again after a while. Datagrams between
// hosts take a millisecond and may be lost. Schedules and slots are left out.
#ifndef BRONZEHUB_TESTS_REPLAY_CRASH_REPLAY_HPP
#define BRONZEHUB_TESTS_REPLAY_CRASH_REPLAY_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "entry/host_directory.hpp"
#include "entry/quarantine_link.hpp"

namespace bronzehub::testing {

struct crash_replay_options {
    std::uint64_t seed = 1;
    std::size_t hosts = 6;
    std::size_t failure_domains = 3;
    std::size_t engines = 12;
    // Requests a second that end engines, and others.
    double crashing_rate = 4;
    double sound_rate = 40;
    std::size_t sessions = 40;
    // The segment that ends engines stands before a session's, instead of
    // behind a common one.
    bool crashing_segment_first = false;
    double datagram_loss = 0;
    base::duration run_time = std::chrono::seconds(12);
    // Rate at which each engine ends by itself, per second.
    double spontaneous_crash_rate = 0;
    // What happens at each time.
    struct event {
        base::duration at;
        std::function<void(class crash_replay&)> run;
    };
    std::vector<event> events;
};

class crash_replay {
public:
    explicit crash_replay(crash_replay_options options);
    ~crash_replay();

    void run();

    // Actions for `events`.
    void end_all_engines();
    // Starts a host again without its state.
    void restart_host(std::size_t index);
    void restart_all_hosts();
    // Name of the host to which the others report.
    std::size_t arbiter_index() const;
    // Separates a failure domain from the others and from the store.
    void cut_domain(std::size_t domain) { cut_domain_ = domain; }
    void heal_domain() { cut_domain_.reset(); }
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }
    // Loses the host for good.
    void kill_host(std::size_t index);

    // Times of the ends of engines that requests with the segment caused.
    const std::vector<base::duration>& crashes() const { return crashes_; }
    // Requests with the segment that reached an engine at `since` or later.
    std::size_t crashing_arrivals(base::duration since) const;
    // Share of the sound requests that arrived in this time and were served.
    double served_share(base::duration since, base::duration until) const;
    // Segments that any host quarantines, other than the crashing one.
    std::set<overload::segment_id> wrongly_quarantined() const {
        return wrongly_quarantined_;
    }
    std::size_t store_reads() const { return store_reads_; }
    std::size_t store_writes() const { return store_writes_; }

private:
    struct host;
    struct engine;
    struct request;

    void step();
    void arrive(bool crashing);
    void try_send(const std::shared_ptr<request>& sent);
    void send_to_engine(const std::shared_ptr<request>& sent);
    void end_engine(engine& ended);
    void start_host(std::size_t index);
    void send_datagram(std::size_t from, const std::string& to,
                       std::string_view bytes);
    bool can_reach_store(std::size_t index) const;
    base::duration elapsed() const { return time_.now() - started_at_; }
    bool draw(double probability);

    crash_replay_options options_;
    std::mt19937_64 random_;
    base::paused_clock time_;
    base::time_point started_at_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::shared_ptr<request>> requests_;
    std::multimap<base::time_point, std::function<void()>> due_;
    std::map<overload::segment_id, base::time_point> store_;
    bool store_reachable_ = true;
    std::optional<std::size_t> cut_domain_;
    std::uint64_t next_incarnation_ = 1;
    std::vector<base::duration> crashes_;
    std::vector<base::duration> crashing_arrivals_;
    std::set<overload::segment_id> wrongly_quarantined_;
    std::size_t store_reads_ = 0;
    std::size_t store_writes_ = 0;
};

}  // namespace bronzehub::testing

#endif
