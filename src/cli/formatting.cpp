#include "cli/formatting.hpp"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::cli {
namespace {

constexpr std::size_t indent_width = 2;

std::string scalar_text(const document& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_null()) {
        return "-";
    }
    return value.dump(-1, ' ', false, document::error_handler_t::replace);
}

bool is_table(const document& value) {
    return value.is_array() && !value.empty() &&
           std::ranges::all_of(
               value, [](const document& row) { return row.is_object(); });
}

bool is_nested(const document& value) {
    return (value.is_object() && !value.empty()) || is_table(value);
}

struct column {
    std::string name;
    std::size_t width = 0;
};

// Columns in the order in which rows first have them.
std::vector<column> find_columns(const document& rows) {
    std::vector<column> columns;
    for (const document& row : rows) {
        for (const auto& [name, value] : row.items()) {
            auto found = std::ranges::find(columns, name, &column::name);
            if (found == columns.end()) {
                columns.push_back({name, name.size()});
                found = columns.end() - 1;
            }
            found->width = std::max(found->width, scalar_text(value).size());
        }
    }
    return columns;
}

void append_cell(std::string& line, const std::string& text,
                 std::size_t width) {
    absl::StrAppend(&line, text,
                    std::string(width + indent_width - text.size(), ' '));
}

void end_line(std::string& line) {
    line.erase(line.find_last_not_of(' ') + 1);
    line += '\n';
}

std::string format_table(const document& rows, std::size_t indent) {
    const std::vector<column> columns = find_columns(rows);
    std::string line(indent, ' ');
    for (const column& each : columns) {
        append_cell(line, each.name, each.width);
    }
    end_line(line);
    std::string text = std::move(line);
    for (const document& row : rows) {
        line = std::string(indent, ' ');
        for (const column& each : columns) {
            const auto value = row.find(each.name);
            append_cell(line, value == row.end() ? "-" : scalar_text(*value),
                        each.width);
        }
        end_line(line);
        text += line;
    }
    return text;
}

std::string format_object(const document& value, std::size_t indent) {
    std::string text;
    for (const auto& [name, entry] : value.items()) {
        absl::StrAppend(&text, std::string(indent, ' '), name, ":");
        if (!is_nested(entry)) {
            absl::StrAppend(&text, " ", scalar_text(entry), "\n");
        } else if (is_table(entry)) {
            absl::StrAppend(&text, "\n",
                            format_table(entry, indent + indent_width));
        } else {
            absl::StrAppend(&text, "\n",
                            format_object(entry, indent + indent_width));
        }
    }
    return text;
}

}  // namespace

std::string format_text(const document& value) {
    if (value.is_object()) {
        return format_object(value, 0);
    }
    return is_table(value) ? format_table(value, 0) : scalar_text(value) + "\n";
}

}  // namespace bronzehub::cli
