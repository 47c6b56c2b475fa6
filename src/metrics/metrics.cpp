#include "metrics/metrics.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <span>
#include <utility>

namespace bronzehub::metrics {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::string_view counter_type = "counter";
constexpr std::string_view gauge_type = "gauge";
constexpr std::string_view summary_type = "summary";

// Escapes backslashes, line breaks and every character in `also`.
std::string escape(std::string_view text, std::string_view also) {
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '\\' || also.find(c) != also.npos) {
            result += '\\';
        }
        result += c;
    }
    return result;
}

std::string format_number(double value) {
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string format_labels(const labels& series_labels) {
    std::string text;
    for (const label& entry : series_labels) {
        text += text.empty() ? "" : ",";
        text += entry.name + "=\"" + escape(entry.value, "\"") + "\"";
    }
    return text;
}

// Appends the line of one sample. `suffix` is appended to the name.
void append_sample(std::string& output, std::string_view name,
                   std::string_view suffix, std::string_view label_text,
                   std::string_view value) {
    output.append(name).append(suffix);
    if (!label_text.empty()) {
        output.append("{").append(label_text).append("}");
    }
    output.append(" ").append(value).append("\n");
}

// Appends the lines of one series, depending on its type.
struct series_writer {
    std::string& output;
    std::string_view name;
    const std::string& label_text;

    void operator()(const counter& total) const {
        append_sample(output, name, "", label_text,
                      std::to_string(total.value()));
    }

    void operator()(const gauge& level) const { append(level.value()); }

    void operator()(const std::function<double()>& read) const {
        append(read ? read() : 0);
    }

    void operator()(const distribution& samples) const {
        const distribution::summary read = samples.read();
        for (std::size_t i = 0; i < read.values.size(); ++i) {
            std::string text = label_text;
            text += text.empty() ? "" : ",";
            text += "quantile=\"" + format_number(distribution::quantiles[i]) +
                    "\"";
            append_sample(output, name, "", text,
                          format_number(read.values[i]));
        }
        append_sample(output, name, "_sum", label_text,
                      format_number(read.sum));
        append_sample(output, name, "_count", label_text,
                      std::to_string(read.count));
    }

    void append(double value) const {
        append_sample(output, name, "", label_text, format_number(value));
    }
};

// The nearest-rank quantile of a sorted, non-empty range.
double exact_quantile(std::span<const double> sorted, double quantile) {
    const double rank =
        std::ceil(quantile * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(rank) - 1];
}

}  // namespace

distribution::distribution()
    : samples_(accumulators::extended_p_square_probabilities = quantiles) {}

void distribution::record(double sample) {
    const std::scoped_lock lock(mutex_);
    const std::size_t before = accumulators::count(samples_);
    if (before < max_exact_samples) {
        first_samples_[before] = sample;
    }
    samples_(sample);
}

distribution::summary distribution::read() const {
    const std::scoped_lock lock(mutex_);
    summary result;
    result.count = accumulators::count(samples_);
    result.sum = accumulators::sum(samples_);
    if (result.count > max_exact_samples) {
        const auto estimates = accumulators::extended_p_square(samples_);
        std::copy(estimates.begin(), estimates.end(), result.values.begin());
    } else if (result.count > 0) {
        std::vector<double> sorted(
            first_samples_.begin(),
            first_samples_.begin() + static_cast<std::ptrdiff_t>(result.count));
        std::ranges::sort(sorted);
        std::ranges::transform(quantiles, result.values.begin(),
                               [&sorted](double quantile) {
                                   return exact_quantile(sorted, quantile);
                               });
    }
    return result;
}

template <class Series>
Series& registry::add(std::string_view name, std::string_view help,
                      std::string_view type, const labels& series_labels) {
    const std::scoped_lock lock(mutex_);
    family& group = families_[std::string(name)];
    if (group.series_by_labels.empty()) {
        group.help = help;
        group.type = type;
    }
    auto [member, added] = group.series_by_labels.try_emplace(
        format_labels(series_labels), std::in_place_type<Series>);
    if (group.type != type || !std::holds_alternative<Series>(member->second)) {
        std::abort();  // All series of a name must have the same type.
    }
    return std::get<Series>(member->second);
}

counter& registry::add_counter(std::string_view name, std::string_view help,
                               const labels& series_labels) {
    return add<counter>(name, help, counter_type, series_labels);
}

gauge& registry::add_gauge(std::string_view name, std::string_view help,
                           const labels& series_labels) {
    return add<gauge>(name, help, gauge_type, series_labels);
}

distribution& registry::add_distribution(std::string_view name,
                                         std::string_view help,
                                         const labels& series_labels) {
    return add<distribution>(name, help, summary_type, series_labels);
}

void registry::add_gauge_callback(std::string_view name, std::string_view help,
                                  std::function<double()> read,
                                  const labels& series_labels) {
    gauge_callback& callback =
        add<gauge_callback>(name, help, gauge_type, series_labels);
    const std::scoped_lock lock(mutex_);
    callback = std::move(read);
}

std::string registry::to_prometheus_text() const {
    const std::scoped_lock lock(mutex_);
    std::string output;
    for (const auto& [name, group] : families_) {
        output.append("# HELP ").append(name).append(" ");
        output.append(escape(group.help, "")).append("\n");
        output.append("# TYPE ").append(name).append(" ");
        output.append(group.type).append("\n");
        for (const auto& [label_text, member] : group.series_by_labels) {
            std::visit(series_writer{output, name, label_text}, member);
        }
    }
    return output;
}

}  // namespace bronzehub::metrics
