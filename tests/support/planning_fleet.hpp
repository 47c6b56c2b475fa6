// Daemons that plan, confirm and follow the configuration over one fake
// platform.
#ifndef BRONZEHUB_TESTS_SUPPORT_PLANNING_FLEET_HPP
#define BRONZEHUB_TESTS_SUPPORT_PLANNING_FLEET_HPP

#include <map>
#include <memory>

#include "configuration/configuration_sync.hpp"
#include "planning/planner.hpp"
#include "tests/support/fake_platform.hpp"
#include "tests/support/sample_configuration.hpp"

namespace bronzehub::testing {

struct planning_fleet {
    struct daemon {
        base::timer_queue timers;
        std::unique_ptr<configuration::configuration_sync> sync;
        std::unique_ptr<planning::planner> planner;
        std::uint64_t incarnation = 0;
    };

    base::paused_clock time;
    fake_platform platform;
    planning::configuration_store store{platform.tables(), platform.objects()};
    std::map<std::string, daemon> daemons;
    std::vector<daemon> ended;
    // Content of each version that some daemon took into force.
    std::map<std::uint64_t, std::string> contents;
    std::string violation;
    std::uint64_t plans = 0;
    planning::planner_limits limits{};

    daemon& start(const std::string& host) {
        daemon& item = daemons[host];
        const std::uint64_t incarnation = item.incarnation + 1;
        if (item.sync != nullptr) {
            item.timers = {};
            ended.push_back(std::move(item));
        }
        item = {};
        item.incarnation = incarnation;
        start_sync(item);
        planning::planner::hooks hooks{
            platform.tables(),
            platform.objects(),
            [sync = item.sync.get()] { return sync->current(); },
            [sync = item.sync.get()](const auto& update) {
                sync->on_update(update);
            },
            [this] { return "plan-" + std::to_string(++plans); },
            [] { return "2026-01-01T00:00:00Z"; }};
        item.planner = std::make_unique<planning::planner>(
            time.view(), item.timers, std::move(hooks), limits);
        return item;
    }

    void start_sync(daemon& item) {
        configuration::configuration_sync::hooks hooks;
        hooks.fetch_from_platform = [this](std::uint64_t have,
                                           const auto& done) {
            store.fetch(have, done);
        };
        hooks.fetch_from_peer = [this](const base::host_id& peer,
                                       std::uint64_t have, const auto& done) {
            done(daemons[peer].sync->log().update_for(have).value_or(
                configuration::configuration_update{}));
        };
        hooks.adopted =
            [this, last = std::uint64_t{0}](
                const configuration::snapshot_pointer& next) mutable {
                const std::string text =
                    configuration::write_configuration(next->value());
                if (next->version() <= last) {
                    violation = "a version fell";
                }
                if (contents.emplace(next->version(), text).first->second !=
                    text) {
                    violation = "two contents under one version";
                }
                last = next->version();
            };
        item.sync = std::make_unique<configuration::configuration_sync>(
            time.view(), std::move(hooks), configuration::sync_timing{});
        item.sync->set_polling(true);
    }

    void advance(std::chrono::milliseconds length) {
        time.advance(length);
        for (auto& [host, item] : daemons) {
            item.timers.run_due(time.now());
            item.sync->tick();
        }
    }

    void heal() {
        platform.deliver_at_once = true;
        platform.deliver_all();
        for (int i = 0; i < 100; ++i) {
            advance(std::chrono::milliseconds(200));
        }
    }

    // Confirms a plan that creates the sample configuration as version 1.
    void set_up(const std::string& host) {
        platform.deliver_at_once = true;
        const auto sample = sample_configuration();
        const planning::intent first{
            "set up",
            {configuration::added<configuration::organisation>{
                 sample.organisations[0]},
             configuration::added<configuration::service>{sample.services[0]},
             configuration::added<configuration::backend_server>{
                 sample.backend_servers[0]}}};
        confirm(host, propose(host, base::write_document(first)));
        platform.deliver_at_once = false;
    }

    static configuration::operator_account account(const std::string& roles) {
        using role = configuration::operator_role;
        configuration::operator_account by{"ann", std::string(64, 'a')};
        for (const auto& entry : base::enum_names<role>::all) {
            if (roles.find(entry.name) != std::string::npos) {
                by.roles.push_back(entry.value);
            }
        }
        return by;
    }

    static std::string weight_intent(double weight) {
        const auto change = weight_change(2, weight);
        return base::write_document(planning::intent{"weight", change.items});
    }

    // Id of the plan when it was stored at once.
    std::string propose(const std::string& host, const std::string& text) {
        std::string id;
        daemons[host].planner->propose(
            account("plan"), text,
            [&id](const auto& made) { id = made.ok() ? made->id : ""; });
        return id;
    }

    using result = std::shared_ptr<absl::StatusOr<planning::confirmation>>;

    // The result is kCancelled until an answer arrives.
    result confirm(const std::string& host, const std::string& plan) {
        result answer =
            std::make_shared<absl::StatusOr<planning::confirmation>>(
                absl::CancelledError());
        daemons[host].planner->confirm(
            account("confirm"), plan,
            [answer](const auto& outcome) { *answer = outcome; });
        return answer;
    }

    // Changes in the table that confirm this plan.
    int times_applied(const std::string& plan) const {
        int times = 0;
        for (const auto& [key, row] : platform.rows) {
            if (key.second.starts_with("change/")) {
                const auto change = configuration::read_change(row.value);
                times += change->plan == plan ? 1 : 0;
            }
        }
        return times;
    }
};

}  // namespace bronzehub::testing

#endif
