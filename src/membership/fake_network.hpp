// A network of membership instances on a paused clock, for tests and
// measurements.
#ifndef BRONZEHUB_MEMBERSHIP_FAKE_NETWORK_HPP
#define BRONZEHUB_MEMBERSHIP_FAKE_NETWORK_HPP

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "membership/membership.hpp"

namespace bronzehub::membership {

// Hosts are named "host-<n>" and spread over the failure domains in turn.
class fake_network {
public:
    struct options {
        std::size_t hosts = 8;
        std::size_t failure_domains = 3;
        std::uint64_t seed = 1;
        base::duration least_delay = std::chrono::milliseconds(1);
        base::duration most_delay = std::chrono::milliseconds(2);
        double loss = 0;       // Share of messages that are dropped.
        bool measure = false;  // Fill `bytes` and `busy`.
    };

    explicit fake_network(options chosen);

    // Starts every host, each at its own place in the first period.
    void start_all();
    // Starts a host anew, with nothing remembered.
    void start(std::size_t host, std::uint64_t incarnation = 1);
    void stop(std::size_t host);
    // A frozen host does not tick; messages wait for it.
    void freeze(std::size_t host);
    void thaw(std::size_t host);

    // Drops messages for which the rule holds.
    std::function<bool(std::size_t from, std::size_t to)> is_cut =
        [](std::size_t, std::size_t) { return false; };
    double loss = 0;

    void run_for(base::duration time);
    // Runs until the condition holds at a step of 50 ms; the time that it
    // took, or `limit` when it never held.
    base::duration run_until(const std::function<bool()>& condition,
                             base::duration limit);

    // Runs for `time`; returns how long it took until the network stayed
    // converged for the rest of it.
    base::duration settle(base::duration time);

    membership& at(std::size_t host) { return *nodes_.at(host).instance; }
    bool is_running(std::size_t host) const {
        return nodes_.at(host).instance != nullptr;
    }
    std::size_t size() const { return nodes_.size(); }
    static std::string name(std::size_t host);

    // What one running host believes of another.
    bool believes_live(std::size_t observer, std::size_t subject);
    // Whether every running host believes that exactly the running hosts of
    // the network are live.
    bool is_converged();

    // Deaths of running hosts that a running host declared.
    std::uint64_t false_deaths = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;  // Encoded size, when measured.
    std::uint64_t ticks = 0;
    base::duration busy{};  // Time spent in `tick` and `receive`.

private:
    struct node {
        std::unique_ptr<membership> instance;
        bool frozen = false;
        std::uint64_t generation = 0;
    };
    struct delivery {
        base::time_point due;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<protocol::message> content;

        bool operator>(const delivery& other) const {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };

    void send(std::size_t from, const peer_address& to, protocol::body content);
    void step();
    template <class Work>
    void run_measured(const Work& work);
    void deliver_due();
    void tick_due();

    options options_;
    base::paused_clock time_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> index_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        in_flight_;
    std::uint64_t next_order_ = 0;
    base::duration encoding_{};  // Time spent on measuring sizes.
};

}  // namespace bronzehub::membership

#endif
