// Program bronzehub-standin: one backend server or platform for tests.
#include <docopt.h>

#include <iostream>
#include <string>

#include "engine.hpp"
#include "http.hpp"
#include "plain.hpp"
#include "platform_role.hpp"
#include "standin.hpp"

namespace bronzehub::standin {
namespace {

constexpr const char* usage =
    R"(Stand-in for the outside systems that bronzehub talks to.

Usage:
  bronzehub-standin --role=ROLE --listen=ADDRESS [--name=NAME] [--slots=N]
                    [--token-interval-ms=MS] [--work-ms=MS]
                    [--load-lag-ms=MS] [--ignore-fencing]
  bronzehub-standin --help

Options:
  --role=ROLE             engine, plain or platform.
  --listen=ADDRESS        IP:PORT; port 0 takes a free port. The address in
                          use is printed as "listening IP:PORT".
  --name=NAME             Name in responses [default: standin].
  --slots=N               Runs that an engine batches [default: 16].
  --token-interval-ms=MS  Default time between tokens [default: 0].
  --load-lag-ms=MS        Age of the load that an engine reports [default: 0].
  --work-ms=MS            Time that a plain call takes [default: 0].
  --ignore-fencing        The engine accepts any fencing token.
)";

using arguments = std::map<std::string, docopt::value>;

std::chrono::milliseconds milliseconds_of(const arguments& given,
                                          const std::string& name) {
    return std::chrono::milliseconds(given.at(name).asLong());
}

std::unique_ptr<role> make_role(const arguments& given,
                                const after_hook& after) {
    const std::string kind = given.at("--role").asString();
    const std::string name = given.at("--name").asString();
    if (kind == "engine") {
        return std::make_unique<engine>(
            engine_options{
                name, static_cast<std::uint32_t>(given.at("--slots").asLong()),
                given.at("--ignore-fencing").asBool(),
                milliseconds_of(given, "--token-interval-ms"),
                milliseconds_of(given, "--load-lag-ms")},
            after);
    }
    if (kind == "plain") {
        return std::make_unique<plain>(
            plain_options{name, milliseconds_of(given, "--work-ms")}, after);
    }
    if (kind == "platform") {
        return std::make_unique<platform_role>();
    }
    throw std::invalid_argument("--role: found \"" + kind +
                                "\", expected engine, plain or platform");
}

int run(const arguments& given) {
    const std::string address = given.at("--listen").asString();
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen: expected IP:PORT");
    }
    const std::string ip = address.substr(0, colon);
    const auto port =
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    std::unique_ptr<standin> target;
    http_server server(ip, port,
                       [&target](const request& call, const response_ptr& out) {
                           target->handle(call, out);
                       });
    target = std::make_unique<standin>(make_role(given, server.timers()),
                                       server.timers());
    std::cout << "listening " << ip << ":" << server.port() << std::endl;
    server.run();
    return 0;
}

}  // namespace
}  // namespace bronzehub::standin

int main(int argc, char** argv) {
    try {
        return bronzehub::standin::run(docopt::docopt(
            bronzehub::standin::usage, {argv + 1, argv + argc}, true));
    } catch (const std::exception& error) {
        std::cerr << "bronzehub-standin: " << error.what() << "\n";
        return 1;
    }
}
