#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/tool.hpp"
#include "settings/settings.hpp"

namespace {

absl::StatusOr<std::string> read_file(const std::string& path) {
    std::ostringstream content;
    if (path == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream input(path, std::ios::binary);
    if (!input || !(content << input.rdbuf())) {
        return absl::NotFoundError("the file cannot be read or is empty");
    }
    return content.str();
}

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bronzehub::cli::tool_environment environment{
        bronzehub::cli::curl_sender(), read_file,
        bronzehub::settings::process_environment(), std::cout, std::cerr};
    return static_cast<int>(bronzehub::cli::run_tool(arguments, environment));
}
