// bronzehub-entryd: the entry daemon for a platform that has its own service
// registry, configuration and store.
#include <docopt.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "entry/entry_node.hpp"
#include "entry/entry_settings.hpp"

namespace {

constexpr const char* usage = R"(bronzehub-entryd - entry daemon of bronzehub.

Usage:
  bronzehub-entryd --settings FILE
  bronzehub-entryd --settings FILE --check
  bronzehub-entryd (-h | --help)

Options:
  --settings FILE  Settings file, JSON with comments.
  --check          Check the settings, report all errors and exit.
  -h --help        Show this text.

Signals:
  SIGTERM, SIGINT  Drain: report not ready at once, go on accepting requests
                   while callers still come, finish what is active, exit 0.
  SIGHUP           Reload the settings file.

Exit codes: 0 done, 1 failed, 2 usage error, 4 invalid settings.
)";

// Larger blocks are returned to the system when they are freed.
constexpr int mmap_threshold_bytes = 128 * 1024;

constexpr int exit_failed = 1;
constexpr int exit_invalid_settings = 4;

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string path = arguments.at("--settings").asString();
    const auto settings = bronzehub::entry::load_entry_settings(path);
    if (!settings.ok()) {
        std::cerr << path << ": " << settings.status().ToString() << '\n';
        return exit_invalid_settings;
    }
    if (arguments.at("--check").asBool()) {
        return 0;
    }
    if (settings->limits.memory_mb > 0) {
        // By default, glibc raises the threshold to the largest block freed so
        // far. Bodies would then fragment the heap, which is never returned.
        mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    }
    bronzehub::entry::entry_node node(*settings, path);
    if (!node.start().ok()) {
        return exit_failed;
    }
    // Ends the process at once: the platform starts the next one only then, and
    // neither the destruction of all connections nor the exit handlers of
    // libraries serve anybody.
    std::_Exit(node.run());
}
