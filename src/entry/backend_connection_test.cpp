#include "entry/backend_connection.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <vector>

namespace {

using asio::ip::tcp;
using bronzehub::entry::backend_connection;
using bronzehub::entry::exchange_hooks;
using bronzehub::entry::exchange_result;
using bronzehub::net::event_loop;
using bronzehub::net::message_head;

// A connection to a loopback listener that responds with the given bytes.
struct exchange {
    exchange()
        : listener(loop.context(),
                   tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          connection(std::make_shared<backend_connection>(
              loop, "127.0.0.1:" +
                        std::to_string(listener.local_endpoint().port()))) {}

    // Sends a request and the response to it; returns when the exchange has
    // ended.
    void run(std::string_view response) {
        connection->send({"GET", "/", {}, ""}, make_hooks());
        listener.accept(server);
        asio::write(server, asio::buffer(response.data(), response.size()));
        while (results.empty()) {
            loop.context().run_one();
        }
    }

    exchange_hooks make_hooks() {
        return {[this](const message_head& head) { return on_head(head); },
                [this](std::string_view bytes) { on_body(bytes); },
                [this](exchange_result result, std::string_view end_reason) {
                    results.push_back(result);
                    reason = end_reason;
                }};
    }

    event_loop loop;
    tcp::acceptor listener;
    tcp::socket server{loop.context()};
    std::shared_ptr<backend_connection> connection;
    std::function<bool(const message_head&)> on_head = [](const message_head&) {
        return true;
    };
    std::function<void(std::string_view)> on_body = [](std::string_view) {};
    std::vector<exchange_result> results;
    std::string reason;
};

constexpr std::string_view complete_response =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n1\r\nb\r\n0\r\n\r\n";

}  // namespace

TEST_CASE("a complete response leaves the connection reusable") {
    exchange tested_exchange;
    tested_exchange.run(complete_response);
    CHECK(tested_exchange.results == std::vector{exchange_result::complete});
    CHECK(tested_exchange.connection->is_free());
}

// Guards against hooks that are called after the owner has failed the exchange,
// and against the reuse of a connection on which the rest of a response is
// still to come.
TEST_CASE("an exchange broken off by its owner ends exactly once, as failed") {
    const bool fail_in_head = GENERATE(true, false);
    exchange tested_exchange;
    int body_parts = 0;
    tested_exchange.on_head = [&](const message_head&) {
        if (fail_in_head) {
            tested_exchange.connection->fail_exchange("not wanted");
        }
        return true;
    };
    tested_exchange.on_body = [&](std::string_view) {
        ++body_parts;
        tested_exchange.connection->fail_exchange("not wanted");
    };
    tested_exchange.run(complete_response);
    CHECK(tested_exchange.results == std::vector{exchange_result::failed});
    CHECK(tested_exchange.reason == "not wanted");
    CHECK(body_parts == (fail_in_head ? 0 : 1));
    CHECK(tested_exchange.connection->is_closed());
}

// Guards against unsolicited bytes after a response that are taken for the next
// response, because the idle connection was not read.
TEST_CASE("unsolicited bytes on an idle connection close it") {
    const bool paused = GENERATE(false, true);
    exchange tested_exchange;
    tested_exchange.on_body = [&](std::string_view) {
        if (paused) {
            tested_exchange.connection->pause_reading();
        }
    };
    tested_exchange.run(complete_response);
    REQUIRE(tested_exchange.connection->is_free());
    asio::write(tested_exchange.server,
                asio::buffer("HTTP/1.1 200 OK\r\n", 17));
    tested_exchange.loop.context().poll();
    CHECK(tested_exchange.connection->is_closed());
}
