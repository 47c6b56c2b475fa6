#include "membership/fake_network.hpp"

#include <utility>

#include "protocol/codec.hpp"

namespace bronzehub::membership {
namespace {

constexpr base::duration step_length = std::chrono::milliseconds(10);
constexpr base::duration check_interval = std::chrono::milliseconds(50);

}  // namespace

fake_network::fake_network(options chosen)
    : loss(chosen.loss),
      options_(chosen),
      random_(chosen.seed),
      nodes_(chosen.hosts) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        index_[name(i)] = i;
    }
}

std::string fake_network::name(std::size_t host) {
    return "host-" + std::to_string(host);
}

void fake_network::start_all() {
    const std::size_t steps = 50;
    for (std::size_t round = 0; round < steps; ++round) {
        for (std::size_t i = round; i < nodes_.size(); i += steps) {
            start(i);
        }
        run_for(step_length);
    }
}

void fake_network::start(std::size_t host, std::uint64_t incarnation) {
    membership_options chosen;
    chosen.host = name(host);
    chosen.address = "10.0.0.1:" + std::to_string(10'000 + host);
    chosen.failure_domain =
        "domain-" + std::to_string(host % options_.failure_domains);
    chosen.incarnation = incarnation;
    chosen.random_seed = random_();
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, size());
         ++seed) {
        chosen.seeds.push_back(
            {name(seed), "10.0.0.1:" + std::to_string(10'000 + seed)});
    }
    membership_hooks hooks;
    hooks.send = [this, host](const peer_address& to, protocol::body content) {
        send(host, to, std::move(content));
    };
    hooks.on_change = [this](const member_change& change) {
        const std::size_t subject = index_.at(change.now.host);
        false_deaths += change.now.state == member_state::dead &&
                                change.before && is_running(subject)
                            ? 1
                            : 0;
    };
    node& target = nodes_.at(host);
    target.instance =
        std::make_unique<membership>(chosen, time_.view(), std::move(hooks));
    target.frozen = false;
    ++target.generation;
    target.instance->start();
}

void fake_network::stop(std::size_t host) {
    nodes_.at(host).instance.reset();
}

void fake_network::freeze(std::size_t host) {
    nodes_.at(host).frozen = true;
}

void fake_network::thaw(std::size_t host) {
    nodes_.at(host).frozen = false;
}

void fake_network::send(std::size_t from, const peer_address& to,
                        protocol::body content) {
    ++messages;
    auto message = std::make_shared<protocol::message>(
        protocol::message{{name(from), 1, messages}, std::move(content)});
    if (options_.measure) {
        const base::clock machine = base::monotonic_clock();
        const base::time_point begin = machine.now();
        bytes += protocol::encode(*message).size();
        encoding_ += machine.now() - begin;
    }
    const std::size_t target = index_.at(to.host);
    std::uniform_real_distribution<double> chance(0, 1);
    if (is_cut(from, target) || chance(random_) < loss) {
        return;
    }
    std::uniform_int_distribution<base::duration::rep> delay(
        options_.least_delay.count(), options_.most_delay.count());
    in_flight_.push({time_.now() + base::duration(delay(random_)),
                     next_order_++, from, target, std::move(message)});
}

void fake_network::run_for(base::duration time) {
    const base::time_point end = time_.now() + time;
    while (time_.now() < end) {
        step();
    }
}

base::duration fake_network::run_until(const std::function<bool()>& condition,
                                       base::duration limit) {
    base::duration elapsed{};
    while (elapsed < limit && !condition()) {
        run_for(check_interval);
        elapsed += check_interval;
    }
    return elapsed;
}

base::duration fake_network::settle(base::duration time) {
    base::duration settled{};
    for (base::duration elapsed{}; elapsed < time;) {
        run_for(check_interval);
        elapsed += check_interval;
        settled = is_converged() ? settled : elapsed;
    }
    return settled;
}

void fake_network::step() {
    time_.advance(step_length);
    deliver_due();
    tick_due();
}

template <class Work>
void fake_network::run_measured(const Work& work) {
    if (!options_.measure) {
        work();
        return;
    }
    const base::clock machine = base::monotonic_clock();
    const base::duration encoding_before = encoding_;
    const base::time_point begin = machine.now();
    work();
    busy += machine.now() - begin - (encoding_ - encoding_before);
}

void fake_network::deliver_due() {
    std::vector<delivery> waiting;
    while (!in_flight_.empty() && in_flight_.top().due <= time_.now()) {
        const delivery next = in_flight_.top();
        in_flight_.pop();
        node& target = nodes_.at(next.to);
        if (target.frozen) {
            waiting.push_back(next);
        } else if (target.instance != nullptr) {
            run_measured([&] {
                target.instance->receive(next.content->from,
                                         next.content->content);
            });
        }
    }
    for (delivery& each : waiting) {
        each.due = time_.now() + step_length;
        in_flight_.push(std::move(each));
    }
}

void fake_network::tick_due() {
    for (node& each : nodes_) {
        if (each.instance != nullptr && !each.frozen &&
            each.instance->next_due() <= time_.now()) {
            ++ticks;
            run_measured([&] { each.instance->tick(); });
        }
    }
}

bool fake_network::believes_live(std::size_t observer, std::size_t subject) {
    const member* known = at(observer).find(name(subject));
    return known != nullptr && known->is_live();
}

bool fake_network::is_converged() {
    for (std::size_t observer = 0; observer < size(); ++observer) {
        for (std::size_t subject = 0; subject < size(); ++subject) {
            if (observer != subject && is_running(observer) &&
                believes_live(observer, subject) != is_running(subject)) {
                return false;
            }
        }
    }
    return true;
}

}  // namespace bronzehub::membership
