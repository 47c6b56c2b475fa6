// Replays the load of a fleet on the paused clock: entry hosts with their real
// schedules and searches, engines that read prompts one after the other, and
// callers of organisations. No sockets, no threads; a seed decides all draws.
#ifndef BRONZEHUB_TESTS_REPLAY_FLEET_REPLAY_HPP
#define BRONZEHUB_TESTS_REPLAY_FLEET_REPLAY_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "entry/place_search.hpp"
#include "entry/share_exchange.hpp"

namespace bronzehub::testing {

// One kind of request, with the sizes of the users' sheets.
struct replay_kind {
    double weight = 1;
    std::chrono::milliseconds target{400};
    std::chrono::milliseconds deadline{3000};
    // The part that requests of a session share, and the request's own prompt.
    double shared_tokens = 0;
    double own_tokens = 0;
    // Spread of the own prompt: sigma of a log-normal distribution.
    double spread = 0;
    double most_own_tokens = 0;
    std::uint32_t output_tokens = 0;
};

struct replay_organisation {
    std::string name;
    // Requests a second at a moment of the replay.
    std::function<double(base::duration)> rate;
    // Failure domain of its callers; they reach the hosts there.
    std::size_t domain = 0;
    // Hosts that its callers reach; zero: all of the domain.
    std::size_t reached_hosts = 0;
    std::size_t sessions = 40;
    // Weights of the kinds; empty: those of the kinds.
    std::vector<double> mix;
};

struct replay_outage {
    base::duration at{};
    base::duration lasts{};
    // Part of the engines that fall silent, or of the hosts that restart.
    double share = 0;
};

struct replay_options {
    std::size_t domains = 4;
    std::size_t hosts = 40;
    std::size_t engines = 40;
    std::uint32_t slots = 24;
    std::uint64_t memory_tokens = 422341;
    base::duration length = std::chrono::seconds(12);
    std::uint64_t seed = 1;
    std::vector<replay_organisation> organisations;
    std::vector<replay_outage> silent_engines;
    std::vector<replay_outage> restarted_hosts;
};

// What an organisation got, second by second.
struct replay_second {
    double asked = 0;
    double got = 0;
    // Some request was refused, or began later than its target.
    bool waited = false;
};

struct fairness_breach {
    std::string organisation;
    std::string best_served;
    std::size_t from_s = 0;
    double asked = 0;
    double got = 0;
    double best_got = 0;
    // What it had to get at least.
    double promised = 0;
};

class fleet_replay {
public:
    explicit fleet_replay(replay_options options);
    ~fleet_replay();
    fleet_replay(const fleet_replay&) = delete;
    fleet_replay& operator=(const fleet_replay&) = delete;

    void run();

    // By organisation.
    const std::map<std::string, std::vector<replay_second>>& seconds() const {
        return seconds_;
    }

    // Windows of six seconds in which an organisation that waited in each got
    // less than half of what it asked or of what the best served one got,
    // whichever is less, second by second, less three of the largest requests.
    std::vector<fairness_breach> breaches() const;

    // Of the work that engines began, per second, in the unit of shares.
    double served_per_s() const;

private:
    struct host;
    struct engine;
    struct request;

    void add_hosts();
    void add_engines();
    void list_engines();
    void schedule_outages();
    void schedule_callers();
    void every(base::duration interval, const std::function<void()>& run);
    void after(base::duration delay, std::function<void()> run);
    void deliver(const std::string& from, const std::string& to,
                 const std::string& bytes);
    void arrive(const replay_organisation& organisation);
    std::shared_ptr<request> draw(const replay_organisation& organisation);
    void attempt(const std::shared_ptr<request>& of, std::size_t at);
    void placed(const std::shared_ptr<request>& of, std::size_t at,
                const std::string& server);
    void drop_searches(std::size_t at);
    void refused(const std::shared_ptr<request>& of, base::duration retry);
    replay_second& second_of(const std::string& organisation);
    double draw_unit() {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    replay_options options_;
    base::paused_clock time_;
    base::timer_queue timers_;
    base::time_point start_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::map<std::string, std::size_t> host_by_address_;
    std::map<std::string, std::unique_ptr<engine>> engines_;
    std::map<std::string, std::vector<replay_second>> seconds_;
    // Requests that look for a place, and the hosts that hold them.
    std::map<std::shared_ptr<request>, std::size_t> searching_;
    double largest_request_ = 0;
    std::uint64_t next_request_ = 1;
};

// The kinds that a replay's organisations send: long plans over a session's
// shared part, chats and short checks.
const std::array<replay_kind, 3>& replay_kinds();

}  // namespace bronzehub::testing

#endif
