#include "entry/place_search.hpp"

#include <catch2/catch.hpp>
#include <memory>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::base::timer_id;
using bronzehub::base::timer_queue;
using bronzehub::entry::place_search;
using bronzehub::entry::slot_response;
namespace entry = bronzehub::entry;
namespace fleet_state = bronzehub::fleet_state;
namespace overload = bronzehub::overload;

// A host that owns the schedules of all engines, so that slots are granted or
// refused within the call that asks for them.
struct single_host {
    explicit single_host(std::uint32_t engine_count) {
        std::vector<fleet_state::backend_server> listed;
        for (std::uint32_t number = 0; number < engine_count; ++number) {
            fleet_state::backend_server server;
            server.id = "i-" + std::to_string(number);
            server.service = "model";
            server.address = "127.0.0.1:1";
            server.failure_domain = "a";
            server.slots = 1;
            listed.push_back(server);
        }
        servers.on_listing(listed, time.now());
    }

    std::shared_ptr<place_search> make_search(
        entry::search_callbacks callbacks) {
        entry::search_criteria criteria;
        criteria.service = "model";
        criteria.capacity = {.slots = 1, .memory_tokens = 0};
        criteria.request.organisation = "o";
        criteria.request.cost = 100;
        return std::make_shared<place_search>(environment, criteria,
                                              std::move(callbacks));
    }

    paused_clock time;
    timer_queue timers;
    fleet_state::backend_directory servers{{}, time.view()};
    entry::engine_pool engines{servers};
    entry::backend_status status{time.view()};
    overload::fleet_shares shares{time.view()};
    entry::host_directory hosts{{"one", "one:1", "a"}, time.view()};
    entry::schedule_link schedule{
        hosts,
        shares,
        time.view(),
        {[this](duration delay, std::function<void()> run) {
             return timers.schedule(time.now() + delay, std::move(run));
         },
         [this](timer_id id) { timers.cancel(id); }},
        [](const std::string&, std::string_view) {},
        1};
    overload::segment_demand demand{time.view()};
    overload::domain_reachability reachability{"a", time.view()};
    overload::host_load load{time.view()};
    entry::search_environment environment{servers,  engines, status,
                                          schedule, demand,  reachability,
                                          load,     shares,  "a"};
};

}  // namespace

// Guards against a read of a search that its owner replaces in the callback,
// which happens when a configuration has moved the route to another service.
// Without a sanitizer or valgrind, such a read may go unnoticed.
TEST_CASE("a callback may release the last reference to its search") {
    const auto engine_count = GENERATE(0U, 1U, 2U);
    const bool retries = GENERATE(false, true);
    CAPTURE(engine_count, retries);
    single_host host(engine_count);
    std::shared_ptr<place_search> search;
    std::weak_ptr<place_search> observed;
    int callbacks = 0;
    bool is_alive_in_callback = false;
    const auto end = [&] {
        ++callbacks;
        search.reset();
        is_alive_in_callback = !observed.expired();
    };
    search = host.make_search({[&](const slot_response&, const std::string&) {
                                   if (retries && callbacks == 0) {
                                       ++callbacks;
                                       search->try_next();
                                   } else {
                                       end();
                                   }
                               },
                               end, [&](duration) { end(); }});
    observed = search;
    search->start({}, host.time.now() + 200ms, host.time.now() + 400ms);
    CHECK(callbacks == (retries && engine_count > 0 ? 2 : 1));
    CHECK(is_alive_in_callback);
    CHECK(observed.expired());
}
