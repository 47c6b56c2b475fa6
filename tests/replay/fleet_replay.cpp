#include "replay/fleet_replay.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"

namespace bronzehub::testing {
namespace {

using namespace std::chrono_literals;
using base::duration;
using base::time_point;
using seconds_d = std::chrono::duration<double>;

// One way between two hosts, and between a host and an engine.
constexpr duration link_delay = 500us;
// A connect to a silent engine is given up after this time.
constexpr duration connect_timeout = 400ms;
// Registrations lapse after three heartbeats, and are listed with a lag.
constexpr duration listing_lag = 4s;
// Speed of an engine, as of the users' sheets; chunks of prompts alternate
// with steps of answers, so that reading takes half as long again.
constexpr double tokens_read_per_ms = 81.9 / 1.5;
constexpr double step_ms = 3.74;
constexpr double step_ms_per_request = 0.0807;
constexpr int largest_requests_allowed = 3;
constexpr std::size_t window_s = 6;
// Part of the target in which a request may wait for a place, as of `call`.
constexpr int waiting_divisor = 2;
// Part of the time left that a caller waits at most before it comes back.
constexpr int patience_divisor = 3;
constexpr duration shared_part_kept = 20s;
// What a host tells callers when no engine is left, and when a caller whose
// connection was closed comes back.
constexpr duration no_engine_retry = 1s;
constexpr duration reconnect_delay = 50ms;

duration from_ms(double value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

}  // namespace

const std::array<replay_kind, 3>& replay_kinds() {
    static const std::array<replay_kind, 3> kinds{
        {{437, 800ms, 12000ms, 5382, 6610, 1.0, 54600, 384},
         {482, 400ms, 12000ms, 198, 628, 0.7, 3310, 290},
         {781, 400ms, 3000ms, 568, 1800, 0.8, 6870, 23}}};
    return kinds;
}

struct fleet_replay::engine {
    fleet_state::backend_server server;
    bool silent = false;
    bool listed = true;
    // Until when the prompts that it accepted keep it busy.
    time_point read_until{};
    std::size_t running = 0;
    std::map<std::uint64_t, time_point> parts;
};

struct fleet_replay::host {
    host(fleet_replay& all, std::size_t index, const std::string& domain,
         std::uint64_t incarnation)
        : directory({absl::StrCat("host-", index),
                     absl::StrCat("host-", index, ":1"), domain},
                    all.time_.view()),
          servers({}, all.time_.view()),
          engines(servers),
          status(all.time_.view()),
          heat(all.time_.view()),
          reach(domain, all.time_.view()),
          load(all.time_.view()),
          meter(all.time_.view()),
          shares(all.time_.view()),
          schedule(
              directory, shares, all.time_.view(),
              {[&all, this](duration delay, std::function<void()> run) {
                   return all.timers_.schedule(
                       all.time_.now() + delay,
                       [alive = std::weak_ptr<bool>(alive),
                        run = std::move(run)] {
                           if (!alive.expired()) {
                               run();
                           }
                       });
               },
               [&all](base::timer_id id) { all.timers_.cancel(id); }},
              [&all, from = absl::StrCat("host-", index, ":1")](
                  const std::string& to, std::string_view bytes) {
                  all.deliver(from, to, std::string(bytes));
              },
              incarnation),
          exchange(
              directory, meter, shares, all.time_.view(),
              [&all, from = absl::StrCat("host-", index, ":1")](
                  const std::string& to, std::string_view bytes) {
                  all.deliver(from, to, std::string(bytes));
              },
              incarnation),
          search{servers, engines, status, schedule, heat,
                 reach,   load,    shares, domain} {}

    // Expires with the host, so that nothing of it runs after a restart.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    entry::host_directory directory;
    fleet_state::backend_directory servers;
    entry::engine_pool engines;
    entry::backend_status status;
    overload::segment_demand heat;
    overload::domain_reachability reach;
    overload::host_load load;
    overload::share_meter meter;
    overload::fleet_shares shares;
    entry::schedule_link schedule;
    entry::share_exchange exchange;
    entry::search_environment search;
};

struct fleet_replay::request {
    const replay_organisation* organisation = nullptr;
    const replay_kind* kind = nullptr;
    entry::search_criteria wanted;
    time_point first_asked;
    time_point arrived;
    bool retried = false;
    std::set<std::string> avoided;
    std::shared_ptr<entry::place_search> search;
};

fleet_replay::fleet_replay(replay_options options)
    : options_(std::move(options)),
      start_(time_.now()),
      random_(options_.seed) {
    add_engines();
    add_hosts();
    list_engines();
}

fleet_replay::~fleet_replay() = default;

void fleet_replay::after(duration delay, std::function<void()> run) {
    timers_.schedule(time_.now() + delay, std::move(run));
}

void fleet_replay::every(duration interval, const std::function<void()>& run) {
    after(interval, [this, interval, run] {
        run();
        every(interval, run);
    });
}

void fleet_replay::add_engines() {
    for (std::size_t i = 0; i < options_.engines; ++i) {
        auto added = std::make_unique<engine>();
        added->server.id = absl::StrCat("i-", i);
        added->server.service = "model";
        added->server.address = absl::StrCat("10.0.0.", i, ":1");
        added->server.failure_domain =
            absl::StrCat("domain-", i % options_.domains);
        added->server.slots = options_.slots;
        engines_.emplace(added->server.id, std::move(added));
    }
}

void fleet_replay::add_hosts() {
    for (std::size_t i = 0; i < options_.hosts; ++i) {
        const std::string domain =
            absl::StrCat("domain-", i % options_.domains);
        hosts_.push_back(std::make_unique<host>(*this, i, domain, 1));
        host_by_address_[hosts_.back()->directory.self().address] = i;
    }
    for (const auto& one : hosts_) {
        for (const auto& other : hosts_) {
            one->directory.on_hello(other->directory.self());
        }
    }
}

void fleet_replay::list_engines() {
    std::vector<fleet_state::backend_server> listed;
    for (const auto& [id, each] : engines_) {
        if (each->listed) {
            listed.push_back(each->server);
        }
    }
    for (const auto& each : hosts_) {
        each->servers.on_listing(listed, time_.now());
    }
}

void fleet_replay::deliver(const std::string& from, const std::string& to,
                           const std::string& bytes) {
    after(link_delay, [this, from, to, bytes] {
        host& receiver = *hosts_.at(host_by_address_.at(to));
        const auto message = entry::decode_message(bytes);
        if (message) {
            receiver.directory.clear_suspicion(message->host);
            receiver.schedule.on_message(from, *message);
            receiver.exchange.on_message(from, *message);
        }
    });
}

replay_second& fleet_replay::second_of(const std::string& organisation) {
    auto& all = seconds_[organisation];
    const auto index =
        static_cast<std::size_t>(seconds_d(time_.now() - start_).count());
    if (all.size() <= index) {
        all.resize(index + 1);
    }
    return all[index];
}

std::shared_ptr<fleet_replay::request> fleet_replay::draw(
    const replay_organisation& organisation) {
    const auto& kinds = replay_kinds();
    std::vector<double> weights = organisation.mix;
    if (weights.empty()) {
        std::ranges::transform(kinds, std::back_inserter(weights),
                               &replay_kind::weight);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                 weights.end());
    const std::size_t kind_index = pick(random_);
    auto result = std::make_shared<request>();
    result->organisation = &organisation;
    result->kind = &kinds.at(kind_index);
    const replay_kind& kind = *result->kind;
    const std::uint64_t number = next_request_++;
    std::lognormal_distribution<double> size(-kind.spread * kind.spread / 2,
                                             kind.spread);
    const auto own = static_cast<std::uint32_t>(
        std::clamp(kind.own_tokens * size(random_), 1.0, kind.most_own_tokens));
    const auto session =
        std::min(static_cast<std::size_t>(
                     draw_unit() * static_cast<double>(organisation.sessions)),
                 organisation.sessions - 1);
    const std::uint64_t part = base::stable_hash(
        absl::StrCat(organisation.name, "/", kind_index, "/", session));
    auto& wanted = result->wanted;
    wanted.service = "model";
    wanted.capacity = {.slots = options_.slots,
                       .memory_tokens = options_.memory_tokens};
    wanted.prompt = {
        {part, static_cast<std::uint32_t>(kind.shared_tokens)},
        {base::stable_hash(absl::StrCat("request/", number)), own}};
    wanted.spread_hash = base::stable_hash(absl::StrCat("spread/", number));
    wanted.request.organisation = organisation.name;
    wanted.request.own_tokens = own;
    wanted.request.output_tokens = kind.output_tokens;
    wanted.request.cost = kind.shared_tokens + own + 2.0 * kind.output_tokens;
    largest_request_ = std::max(largest_request_, wanted.request.cost);
    return result;
}

void fleet_replay::arrive(const replay_organisation& organisation) {
    const auto drawn = draw(organisation);
    drawn->first_asked = time_.now();
    second_of(organisation.name).asked += drawn->wanted.request.cost;
    const std::size_t in_domain = options_.hosts / options_.domains;
    const std::size_t reached = organisation.reached_hosts == 0
                                    ? in_domain
                                    : organisation.reached_hosts;
    const auto nth =
        static_cast<std::size_t>(draw_unit() * static_cast<double>(reached));
    attempt(drawn, organisation.domain +
                       options_.domains * std::min(nth, in_domain - 1));
}

void fleet_replay::attempt(const std::shared_ptr<request>& of, std::size_t at) {
    of->arrived = time_.now();
    host& holder = *hosts_.at(at);
    searching_[of] = at;
    const auto if_searching =
        [this, weak = std::weak_ptr<request>(of)](const auto& run) {
            const auto found = weak.lock();
            if (found && searching_.erase(found) > 0) {
                run(found);
            }
        };
    of->search = std::make_shared<entry::place_search>(
        holder.search, of->wanted,
        entry::search_callbacks{
            [this, at, if_searching](const entry::slot_response&,
                                     const std::string& server) {
                if_searching(
                    [&](const auto& found) { placed(found, at, server); });
            },
            [this, if_searching] {
                if_searching([&](const auto& found) {
                    refused(found, no_engine_retry);
                });
            },
            [this, at, if_searching](duration retry) {
                if_searching([&](const auto& found) {
                    hosts_.at(at)->meter.on_refused(
                        found->organisation->name, found->wanted.request.cost,
                        overload::refusal_point::engines);
                    refused(found, retry);
                });
            }});
    of->search->start(of->avoided,
                      of->arrived + of->kind->target / waiting_divisor,
                      of->arrived + of->kind->target);
}

void fleet_replay::placed(const std::shared_ptr<request>& of, std::size_t at,
                          const std::string& server) {
    engine& on = *engines_.at(server);
    hosts_.at(at)->meter.on_granted(of->organisation->name,
                                    of->wanted.request.cost);
    const auto alive = std::weak_ptr<bool>(hosts_.at(at)->alive);
    const auto release = [of, alive] {
        if (!alive.expired()) {
            of->search->release();
        }
        of->search.reset();
    };
    if (on.silent) {
        after(connect_timeout, [this, of, at, server, release] {
            release();
            of->avoided.insert(server);
            attempt(of, at);
        });
        return;
    }
    const replay_kind& kind = *of->kind;
    double unread = of->wanted.request.own_tokens;
    const auto& part = of->wanted.prompt.front();
    auto& kept = on.parts[part.id];
    if (kept == time_point{} || time_.now() - kept > shared_part_kept) {
        unread += part.tokens;
    }
    kept = time_.now();
    ++on.running;
    on.read_until = std::max(on.read_until, time_.now() + link_delay) +
                    from_ms(unread / tokens_read_per_ms);
    const time_point granted_at = time_.now();
    timers_.schedule(on.read_until, [this, of, at, &on, granted_at, release,
                                     &kind, alive] {
        const duration waited = time_.now() - of->first_asked;
        auto& second = second_of(of->organisation->name);
        second.got += of->wanted.request.cost;
        second.waited = second.waited || waited > kind.target;
        if (!alive.expired() && of->search && of->search->slot_number()) {
            hosts_.at(at)->schedule.report_first_event(
                *of->search->slot_number(), time_.now() - granted_at,
                time_.now() - granted_at <= kind.target / waiting_divisor);
        }
        const double step =
            step_ms + step_ms_per_request * static_cast<double>(on.running);
        after(from_ms(step * of->wanted.request.output_tokens), [&on, release] {
            --on.running;
            release();
        });
    });
}

void fleet_replay::refused(const std::shared_ptr<request>& of, duration retry) {
    of->search.reset();
    second_of(of->organisation->name).waited = true;
    const duration left = of->kind->deadline - (time_.now() - of->first_asked);
    if (std::exchange(of->retried, true) || retry > left / patience_divisor) {
        return;
    }
    // A caller that comes back reaches another host of its failure domain.
    const std::size_t in_domain = options_.hosts / options_.domains;
    const std::size_t at =
        of->organisation->domain +
        options_.domains *
            std::min(static_cast<std::size_t>(draw_unit() *
                                              static_cast<double>(in_domain)),
                     in_domain - 1);
    after(retry, [this, of, at] { attempt(of, at); });
}

void fleet_replay::schedule_outages() {
    for (const replay_outage& outage : options_.silent_engines) {
        after(outage.at, [this, outage] {
            std::vector<std::string> lost;
            for (const auto& [id, each] : engines_) {
                if (!each->silent && draw_unit() < outage.share) {
                    each->silent = true;
                    lost.push_back(id);
                }
            }
            after(listing_lag, [this, lost] {
                for (const auto& id : lost) {
                    engines_.at(id)->listed = !engines_.at(id)->silent;
                }
                list_engines();
            });
            after(outage.lasts, [this, lost] {
                for (const auto& id : lost) {
                    engine& back = *engines_.at(id);
                    back.silent = false;
                    back.listed = true;
                    back.parts.clear();
                    ++back.server.started_at_ms;
                }
                list_engines();
            });
        });
    }
    for (const replay_outage& outage : options_.restarted_hosts) {
        after(outage.at, [this, outage] {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                if (draw_unit() >= outage.share) {
                    continue;
                }
                const std::string domain =
                    hosts_[i]->directory.self().failure_domain;
                auto started = std::make_unique<host>(*this, i, domain, 2);
                for (const auto& other : hosts_) {
                    started->directory.on_hello(other->directory.self());
                }
                hosts_[i] = std::move(started);
                drop_searches(i);
            }
            list_engines();
        });
    }
}

// The callers of a host that was lost come back elsewhere.
void fleet_replay::drop_searches(std::size_t at) {
    std::vector<std::shared_ptr<request>> lost;
    for (const auto& [of, host_index] : searching_) {
        if (host_index == at) {
            lost.push_back(of);
        }
    }
    for (const auto& of : lost) {
        searching_.erase(of);
        refused(of, reconnect_delay);
    }
}

void fleet_replay::schedule_callers() {
    for (const replay_organisation& organisation : options_.organisations) {
        // Poisson arrivals, drawn for a step at a time.
        static constexpr duration step = 5ms;
        every(step, [this, &organisation] {
            const double mean = organisation.rate(time_.now() - start_) *
                                seconds_d(step).count();
            if (mean <= 0) {
                return;
            }
            std::poisson_distribution<int> arrivals(mean);
            const int count = arrivals(random_);
            for (int i = 0; i < count; ++i) {
                arrive(organisation);
            }
        });
    }
}

void fleet_replay::run() {
    schedule_callers();
    schedule_outages();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        // Hosts do not tick in step.
        after(from_ms(static_cast<double>(i)), [this, i] {
            every(overload::host_load::sample_interval,
                  [this, i] { hosts_[i]->schedule.tick(); });
            every(entry::schedule_link::inventory_interval,
                  [this, i] { hosts_[i]->schedule.send_inventory(); });
            every(entry::share_exchange::interval,
                  [this, i] { hosts_[i]->exchange.tick(); });
        });
    }
    const time_point end = start_ + options_.length;
    while (timers_.next_due() && *timers_.next_due() < end) {
        const time_point due = *timers_.next_due();
        time_.advance(std::max(due - time_.now(), duration(0)));
        timers_.run_due(due);
    }
}

double fleet_replay::served_per_s() const {
    double total = 0;
    for (const auto& [name, all] : seconds_) {
        for (const auto& each : all) {
            total += each.got;
        }
    }
    return total / seconds_d(options_.length).count();
}

std::vector<fairness_breach> fleet_replay::breaches() const {
    const auto count = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(options_.length)
            .count());
    const auto at = [](const std::vector<replay_second>& all, std::size_t s) {
        return s < all.size() ? all[s] : replay_second{};
    };
    const auto got_in = [&](const std::vector<replay_second>& all,
                            std::size_t from) {
        double total = 0;
        for (std::size_t s = from; s < from + window_s; ++s) {
            total += at(all, s).got;
        }
        return total;
    };
    std::vector<fairness_breach> result;
    for (std::size_t from = 0; from + window_s <= count; ++from) {
        const auto best = std::ranges::max_element(
            seconds_, {},
            [&](const auto& entry) { return got_in(entry.second, from); });
        for (const auto& [name, all] : seconds_) {
            bool waited = true;
            fairness_breach found{name, best->first, from, 0, 0, 0, 0};
            for (std::size_t s = from; s < from + window_s; ++s) {
                const replay_second own = at(all, s);
                const replay_second most = at(best->second, s);
                waited = waited && own.waited;
                found.asked += own.asked;
                found.got += own.got;
                found.best_got += most.got;
                found.promised += std::min(own.asked, most.got) / 2;
            }
            found.promised -= largest_requests_allowed * largest_request_;
            if (waited && found.got < found.promised) {
                result.push_back(found);
            }
        }
    }
    return result;
}

}  // namespace bronzehub::testing
