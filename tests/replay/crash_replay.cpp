#include "replay/crash_replay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::testing {
namespace {

using namespace std::chrono_literals;
using entry::quarantine_link;
using entry::segment_clearance;
using overload::segment_id;

constexpr auto step_length = 1ms;
constexpr auto first_event_delay = 120ms;
constexpr auto restart_delay = 2s;
constexpr auto max_wait = 200ms;
constexpr auto tick_interval = 10ms;
// Attempts at a request, as far as they broke off without an event.
constexpr int max_attempts = 2;
constexpr segment_id common_segment = 1;
constexpr segment_id crashing_segment = 2;
constexpr segment_id first_session = 100;

}  // namespace

struct crash_replay::request {
    std::vector<segment_id> segments;
    bool crashing = false;
    base::duration arrived_at{};
    std::size_t host = 0;
    // Start of the host that received the request; it is lost with the host.
    std::uint64_t incarnation = 0;
    std::size_t engine = 0;
    base::time_point sent_at;
    int attempts = 0;
    std::uint64_t trial = 0;
    bool has_trial = false;
    bool served = false;
};

struct crash_replay::engine {
    std::size_t index = 0;
    bool up = true;
    std::uint64_t instance = 1;
    std::vector<std::shared_ptr<request>> waiting;
};

struct crash_replay::host {
    std::unique_ptr<entry::host_directory> directory;
    std::unique_ptr<quarantine_link> quarantine;
    std::uint64_t incarnation = 0;
};

crash_replay::crash_replay(crash_replay_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      started_at_(time_.now()) {
    // Hosts start some time after the origin of the clock.
    time_.advance(10s);
    started_at_ = time_.now();
    for (std::size_t i = 0; i < options_.engines; ++i) {
        engines_.push_back(std::make_unique<engine>());
        engines_.back()->index = i;
    }
    hosts_.resize(options_.hosts);
    for (std::size_t i = 0; i < options_.hosts; ++i) {
        start_host(i);
    }
}

crash_replay::~crash_replay() = default;

bool crash_replay::draw(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

bool crash_replay::can_reach_store(std::size_t index) const {
    return store_reachable_ && cut_domain_ != index % options_.failure_domains;
}

void crash_replay::start_host(std::size_t index) {
    auto& started = hosts_[index];
    started = std::make_unique<host>();
    started->incarnation = next_incarnation_++;
    const auto describe = [this](std::size_t i) {
        const std::string name = std::to_string(i);
        return entry::entry_host{name, name,
                                 std::to_string(i % options_.failure_domains)};
    };
    started->directory =
        std::make_unique<entry::host_directory>(describe(index), time_.view());
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i != index) {
            started->directory->on_hello(describe(i));
        }
    }
    entry::quarantine_hooks hooks;
    hooks.send = [this, index](const std::string& to, std::string_view bytes) {
        send_datagram(index, to, bytes);
    };
    const auto if_running = [this, index,
                             incarnation = started->incarnation](auto action) {
        due_.emplace(time_.now() + 4ms, [this, index, incarnation, action] {
            if (hosts_[index] && hosts_[index]->incarnation == incarnation &&
                can_reach_store(index)) {
                action(*hosts_[index]->quarantine);
            }
        });
    };
    hooks.read_store = [this, if_running] {
        ++store_reads_;
        if_running([this](quarantine_link& link) {
            std::vector<std::pair<segment_id, base::duration>> rows;
            std::ranges::transform(
                store_, std::back_inserter(rows), [this](const auto& row) {
                    return std::pair(row.first, row.second - time_.now());
                });
            link.on_store_read(rows);
        });
    };
    hooks.store = [this, if_running](segment_id segment,
                                     base::duration lifetime) {
        ++store_writes_;
        if_running([this, segment, lifetime](quarantine_link& link) {
            store_[segment] = time_.now() + lifetime;
            link.on_stored(segment);
        });
    };
    hooks.on_quarantined = [this](segment_id segment, std::string_view) {
        if (segment != crashing_segment) {
            wrongly_quarantined_.insert(segment);
        }
    };
    started->quarantine = std::make_unique<quarantine_link>(
        *started->directory, time_.view(), started->incarnation,
        std::move(hooks));
}

void crash_replay::restart_host(std::size_t index) {
    start_host(index);
}

void crash_replay::restart_all_hosts() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        start_host(i);
    }
}

void crash_replay::kill_host(std::size_t index) {
    hosts_[index].reset();
}

std::size_t crash_replay::arbiter_index() const {
    return std::stoul(hosts_[0]->directory->owner("prompt segments", "").name);
}

void crash_replay::send_datagram(std::size_t from, const std::string& to,
                                 std::string_view bytes) {
    const std::size_t receiver = std::stoul(to);
    const auto is_cut = [this](std::size_t index) {
        return cut_domain_ == index % options_.failure_domains;
    };
    if (draw(options_.datagram_loss) || is_cut(from) != is_cut(receiver)) {
        return;
    }
    due_.emplace(time_.now() + step_length, [this, from, receiver,
                                             text = std::string(bytes)] {
        if (hosts_[receiver]) {
            hosts_[receiver]->quarantine->on_message(
                std::to_string(from), *entry::decode_message(text));
        }
    });
}

void crash_replay::arrive(bool crashing) {
    const auto arrived = std::make_shared<request>();
    const auto session =
        first_session + random_() % static_cast<segment_id>(options_.sessions);
    arrived->crashing = crashing;
    if (!crashing) {
        arrived->segments = {common_segment, session};
    } else if (options_.crashing_segment_first) {
        arrived->segments = {crashing_segment, session};
    } else {
        arrived->segments = {common_segment, crashing_segment};
    }
    arrived->arrived_at = elapsed();
    do {
        arrived->host = random_() % hosts_.size();
    } while (!hosts_[arrived->host]);
    arrived->incarnation = hosts_[arrived->host]->incarnation;
    requests_.push_back(arrived);
    try_send(arrived);
}

void crash_replay::try_send(const std::shared_ptr<request>& sent) {
    auto& quarantine = *hosts_[sent->host]->quarantine;
    if (!quarantine.is_complete()) {
        return;
    }
    if (sent->has_trial || !quarantine.needs_clearance(sent->segments)) {
        send_to_engine(sent);
        return;
    }
    sent->trial = quarantine.next_trial_number();
    quarantine.wait_for_clearance(
        sent->trial, sent->segments, time_.now() + max_wait,
        [this, sent](segment_clearance clearance) {
            sent->has_trial = clearance == segment_clearance::trial;
            if (sent->has_trial ||
                clearance == segment_clearance::unrestricted) {
                send_to_engine(sent);
            }
        });
}

void crash_replay::send_to_engine(const std::shared_ptr<request>& sent) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i]->up && (sent->attempts == 0 || i != sent->engine)) {
            up.push_back(i);
        }
    }
    if (up.empty()) {
        if (std::exchange(sent->has_trial, false)) {
            hosts_[sent->host]->quarantine->end_trial(sent->trial);
        }
        return;
    }
    sent->engine = up[random_() % up.size()];
    sent->sent_at = time_.now();
    ++sent->attempts;
    if (sent->crashing) {
        crashing_arrivals_.push_back(elapsed());
    }
    engine& chosen = *engines_[sent->engine];
    chosen.waiting.push_back(sent);
    due_.emplace(
        time_.now() + first_event_delay,
        [this, sent, instance = chosen.instance, attempt = sent->attempts] {
            engine& running = *engines_[sent->engine];
            if (attempt != sent->attempts || running.instance != instance ||
                !running.up) {
                return;
            }
            if (sent->crashing) {
                crashes_.push_back(elapsed());
                end_engine(running);
                return;
            }
            std::erase(running.waiting, sent);
            sent->served = true;
            const auto& at = hosts_[sent->host];
            if (at && at->incarnation == sent->incarnation) {
                at->quarantine->on_first_event(sent->segments);
                if (std::exchange(sent->has_trial, false)) {
                    at->quarantine->end_trial(sent->trial);
                }
            }
        });
}

void crash_replay::end_engine(engine& ended) {
    const std::string name =
        std::to_string(ended.index) + "/" + std::to_string(ended.instance);
    ended.up = false;
    due_.emplace(time_.now() + restart_delay, [&ended] {
        ended.up = true;
        ++ended.instance;
    });
    for (const auto& broken : std::exchange(ended.waiting, {})) {
        const auto& at = hosts_[broken->host];
        if (!at || at->incarnation != broken->incarnation) {
            continue;
        }
        at->quarantine->on_crash({name, broken->segments, broken->sent_at, "",
                                  broken->host % options_.failure_domains ==
                                      ended.index % options_.failure_domains});
        if (std::exchange(broken->has_trial, false)) {
            at->quarantine->end_trial(broken->trial);
        }
        if (broken->attempts < max_attempts) {
            try_send(broken);
        }
    }
}

void crash_replay::end_all_engines() {
    for (const auto& each : engines_) {
        if (each->up) {
            end_engine(*each);
        }
    }
}

void crash_replay::step() {
    time_.advance(step_length);
    while (!due_.empty() && due_.begin()->first <= time_.now()) {
        const auto action = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        action();
    }
    const double seconds = std::chrono::duration<double>(step_length).count();
    if (draw(options_.sound_rate * seconds)) {
        arrive(false);
    }
    if (draw(options_.crashing_rate * seconds)) {
        arrive(true);
    }
    for (const auto& each : engines_) {
        if (each->up && draw(options_.spontaneous_crash_rate * seconds)) {
            end_engine(*each);
        }
    }
    if (elapsed() % tick_interval == base::duration(0)) {
        for (const auto& each : hosts_) {
            if (each) {
                each->quarantine->tick();
            }
        }
    }
}

void crash_replay::run() {
    auto events = options_.events;
    std::ranges::sort(events, {}, &crash_replay_options::event::at);
    auto next = events.begin();
    while (elapsed() < options_.run_time) {
        for (; next != events.end() && next->at <= elapsed(); ++next) {
            next->run(*this);
        }
        step();
    }
}

std::size_t crash_replay::crashing_arrivals(base::duration since) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        crashing_arrivals_,
        [since](base::duration at) { return at >= since; }));
}

double crash_replay::served_share(base::duration since,
                                  base::duration until) const {
    std::size_t arrived = 0;
    std::size_t served = 0;
    for (const auto& each : requests_) {
        if (!each->crashing && each->arrived_at >= since &&
            each->arrived_at < until) {
            ++arrived;
            served += each->served ? 1 : 0;
        }
    }
    return arrived == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(arrived);
}

}  // namespace bronzehub::testing
