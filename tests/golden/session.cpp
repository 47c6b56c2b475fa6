#include "session.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <utility>

#include "local_fleet.hpp"

namespace bronzehub::golden {
namespace {

constexpr char destination_mark = '@';
constexpr char request_mark = '>';
constexpr char until_mark = '?';
constexpr char response_mark = '<';
constexpr int json_indent = 2;

// Headers of the transport, which say nothing about bronzehub's decisions.
constexpr std::array<std::string_view, 5> hidden_headers{
    "Connection:", "Content-Length:", "Date:", "Server:", "Transfer-Encoding:"};

std::vector<std::string> lines_of(std::string_view text) {
    std::istringstream in{std::string(text)};
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

// Keeps the empty piece after a final line break, so that a body with one
// differs from a body without.
std::vector<std::string> body_lines(const std::string& body) {
    std::vector<std::string> lines = lines_of(body);
    if (body.ends_with('\n')) {
        lines.emplace_back();
    }
    return lines;
}

std::string marked(char mark, const std::string& text) {
    return std::string(1, mark) + (text.empty() ? "" : " ") + text + "\n";
}

std::string unmarked(const std::string& line) {
    return line.size() > 2 ? line.substr(2) : std::string();
}

void replace_all(std::string& text, const std::string& from,
                 const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// Calls `replace` for every match and puts its result in the match's place.
template <class Replace>
std::string replace_matches(const std::string& text, const std::regex& pattern,
                            Replace replace) {
    std::string result;
    auto rest = text.cbegin();
    for (std::sregex_iterator at(text.begin(), text.end(), pattern), end;
         at != end; ++at) {
        result.append(rest, (*at)[0].first).append(replace(*at));
        rest = (*at)[0].second;
    }
    return result.append(rest, text.cend());
}

bool is_metrics_page(const http_response& response) {
    return std::ranges::any_of(response.headers, [](const std::string& line) {
        return line.ends_with("version=0.0.4");
    });
}

std::string readable_body(const http_response& response) {
    if (is_metrics_page(response)) {
        std::string types;
        for (const std::string& line : lines_of(response.body)) {
            types += line.starts_with("# TYPE ") ? line + "\n" : "";
        }
        return types;
    }
    const auto parsed =
        nlohmann::ordered_json::parse(response.body, nullptr, false);
    const bool is_compact =
        !parsed.is_discarded() && parsed.dump() == response.body;
    return is_compact ? parsed.dump(json_indent) : response.body;
}

std::string id_kind(const std::string& destination) {
    return destination == "operators" ? "{plan-" : "{request-";
}

}  // namespace

std::vector<step> parse_session(std::string_view text) {
    std::vector<step> steps;
    step current;
    const auto finish = [&] {
        step next;
        next.destination = current.destination;
        steps.push_back(std::exchange(current, std::move(next)));
    };
    for (const std::string& line : lines_of(text)) {
        const char mark = line.empty() ? '#' : line.front();
        if (mark == response_mark) {
            current.expected += line + "\n";
            continue;
        }
        const bool belongs_to_request =
            mark == until_mark ||
            (mark == request_mark && current.expected.empty());
        if (!current.request.empty() && !belongs_to_request) {
            finish();
        }
        if (mark == request_mark) {
            current.request.push_back(unmarked(line));
        } else if (mark == until_mark) {
            current.until = unmarked(line);
        } else {
            current.preamble.push_back(line);
        }
        if (mark == destination_mark) {
            current.destination = unmarked(line);
        }
    }
    finish();
    return steps;
}

std::string write_request(const step& value) {
    std::string text;
    for (const std::string& line : value.preamble) {
        text += line + "\n";
    }
    for (const std::string& line : value.request) {
        text += marked(request_mark, line);
    }
    return value.until.empty() ? text : text + marked(until_mark, value.until);
}

std::string placeholders::hide(std::string text,
                               const std::string& destination) {
    const std::regex id(std::string(host_name) + R"(-(\d{13})-(\d+))");
    text = replace_matches(text, id, [&](const std::smatch& match) {
        incarnation_ = match[1];
        return id_kind(destination) + match[2].str() + "}";
    });
    for (const auto& [name, port] : ports_) {
        replace_all(text, "127.0.0.1:" + std::to_string(port),
                    "{ip:" + name + "}");
    }
    static const std::regex incarnation(R"(("incarnation": ?)\d{13})");
    return std::regex_replace(text, incarnation, "$1{incarnation}");
}

std::string placeholders::fill(std::string text) const {
    static const std::regex id(R"(\{(?:plan|request)-(\d+)\})");
    static const std::regex letters(R"(\{fill-(\d+)\})");
    text = replace_matches(text, id, [&](const std::smatch& match) {
        return std::string(host_name) + "-" + incarnation_ + "-" +
               match[1].str();
    });
    for (const auto& [name, port] : ports_) {
        replace_all(text, "{ip:" + name + "}",
                    "127.0.0.1:" + std::to_string(port));
    }
    return replace_matches(text, letters, [](const std::smatch& match) {
        return std::string(std::stoul(match[1].str()), 'x');
    });
}

http_request make_request(const step& value, const placeholders& values) {
    http_request result;
    const std::string& first = value.request.front();
    const std::size_t space = first.find(' ');
    result.method = first.substr(0, space);
    result.path = values.fill(first.substr(space + 1));
    const auto separator = std::ranges::find(value.request, std::string());
    std::transform(value.request.begin() + 1, separator,
                   std::back_inserter(result.headers),
                   [&](const std::string& line) { return values.fill(line); });
    for (auto line = separator; line != value.request.end(); ++line) {
        result.body += result.body.empty() ? "" : "\n";
        result.body += values.fill(*line);
    }
    return result;
}

std::string write_response(const http_response& response,
                           const std::string& destination,
                           placeholders& values) {
    std::string text = marked(response_mark, response.status);
    for (const std::string& line : response.headers) {
        const bool is_hidden = std::ranges::any_of(
            hidden_headers,
            [&](std::string_view name) { return line.starts_with(name); });
        text += is_hidden ? "" : marked(response_mark, line);
    }
    text += response.body.empty() ? "" : marked(response_mark, "");
    for (const std::string& line : body_lines(readable_body(response))) {
        text += marked(response_mark, line);
    }
    return values.hide(std::move(text), destination);
}

}  // namespace bronzehub::golden
