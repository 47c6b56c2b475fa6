// bronzehubd: the daemon that runs on every entry host.
#include <docopt.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "base/clock.hpp"
#include "daemon/node.hpp"
#include "logging/logging.hpp"
#include "settings/settings.hpp"

namespace {

using bronzehub::daemon::node;
namespace logging = bronzehub::logging;
namespace settings = bronzehub::settings;

constexpr const char* usage = R"(bronzehubd - entry host daemon of bronzehub.

Usage:
  bronzehubd --settings FILE
  bronzehubd --settings FILE --check
  bronzehubd (-h | --help)
  bronzehubd --version

Options:
  --settings FILE  Settings file, JSON with comments.
  --check          Check the settings, report every fault and exit.
  -h --help        Show this text.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Drain: take no new calls, finish every running call, exit 0.
                   A second one reports the calls that a forced exit would
                   lose; a third one within the force window exits with 3.

Exit codes: 0 done, 1 failed, 2 usage, 3 forced, 4 invalid settings.
)";

logging::level level_of(settings::log_level level) {
    return static_cast<logging::level>(level);
}

// Reacts to SIGTERM and SIGINT as the usage text says.
class signal_handler {
public:
    signal_handler(asio::io_context& context, node& target,
                   logging::logger& log, std::chrono::milliseconds force_window)
        : signals_(context, SIGTERM, SIGINT),
          context_(context),
          target_(target),
          log_(log),
          force_window_(force_window) {
        wait();
    }

    int exit_code() const { return exit_code_; }

private:
    void wait() {
        signals_.async_wait([this](const asio::error_code& error, int) {
            if (!error) {
                on_signal();
                wait();
            }
        });
    }

    void on_signal() {
        ++count_;
        const auto now = clock_.now();
        if (count_ == 1) {
            target_.drain(
                [this] { asio::post(context_, [this] { context_.stop(); }); });
        } else if (count_ == 2 || now - warned_at_ > force_window_) {
            count_ = 2;
            warned_at_ = now;
            log_.warning("another signal soon will force the exit",
                         {logging::field("calls_lost", target_.active_calls()),
                          logging::field("window_ms", force_window_)});
        } else {
            exit_code_ = bronzehub::daemon::exit_forced;
            context_.stop();
        }
    }

    asio::signal_set signals_;
    asio::io_context& context_;
    node& target_;
    logging::logger& log_;
    std::chrono::milliseconds force_window_;
    bronzehub::base::clock clock_ = bronzehub::base::monotonic_clock();
    bronzehub::base::time_point warned_at_;
    int count_ = 0;
    int exit_code_ = bronzehub::daemon::exit_ok;
};

int run(const settings::daemon_settings& checked) {
    logging::logger log(
        {level_of(checked.log.level), {checked.peers.shared_key}},
        logging::stderr_sink());
    auto started = node::start(checked, log);
    if (!started.ok()) {
        log.error("start failed", {logging::field("cause", started.status())});
        return bronzehub::daemon::exit_failed;
    }
    asio::io_context signals_context;
    signal_handler handler(signals_context, **started, log,
                           checked.drain.force_window);
    log.info("serving",
             {logging::field("callers", checked.listeners.callers),
              logging::field("operators", checked.listeners.operators)});
    signals_context.run();
    log.info("stopped", {});
    return handler.exit_code();
}

}  // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true,
                                          "bronzehubd " BRONZEHUB_VERSION);
    const auto loaded = settings::load_settings_file(
        arguments.at("--settings").asString(), settings::process_environment());
    for (const auto& fault : loaded.errors) {
        std::cerr << settings::to_string(fault) << '\n';
    }
    if (!loaded.errors.empty()) {
        return bronzehub::daemon::exit_bad_settings;
    }
    if (arguments.at("--check").asBool()) {
        return bronzehub::daemon::exit_ok;
    }
    return run(loaded.settings);
}
