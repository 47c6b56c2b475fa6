// One daemon and the stand-ins that it talks to, in this process and on free
// loopback ports.
#ifndef BRONZEHUB_TESTS_GOLDEN_LOCAL_FLEET_HPP
#define BRONZEHUB_TESTS_GOLDEN_LOCAL_FLEET_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "daemon/node.hpp"
#include "http.hpp"
#include "logging/logging.hpp"
#include "standin.hpp"

namespace bronzehub::golden {

// A role of the stand-in with its server thread.
class standin_server {
public:
    using role_maker = std::function<std::unique_ptr<standin::role>(
        const standin::after_hook& after)>;

    explicit standin_server(const role_maker& make_role);
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    ~standin_server();

    std::uint16_t port() const { return server_.port(); }

private:
    standin::http_server server_;
    standin::standin target_;
    std::thread thread_;
};

// Name of the daemon's host; request ids and plan ids begin with it.
inline constexpr const char* host_name = "golden";

class local_fleet {
public:
    // Returns when the daemon is ready. Throws std::runtime_error when it does
    // not become ready.
    local_fleet();

    // Port by destination: callers, operators, platform, engine, plain.
    const std::map<std::string, std::uint16_t>& ports() const { return ports_; }

private:
    std::string initial_configuration() const;
    void start_node();

    standin_server platform_;
    standin_server engine_;
    standin_server plain_;
    std::map<std::string, std::uint16_t> ports_;
    logging::logger log_;
    std::unique_ptr<daemon::node> node_;
};

// Calls `is_done` until it returns true; throws std::runtime_error naming
// `what` after a bound that no healthy run reaches.
void wait_until(const std::string& what, const std::function<bool()>& is_done);

}  // namespace bronzehub::golden

#endif
