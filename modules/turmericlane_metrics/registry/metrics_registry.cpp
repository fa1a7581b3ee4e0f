#include "metrics_registry.h"

#include <cassert>
#include <charconv>
#include <cmath>

namespace turmericlane
{

namespace
{

enum metric_kind
{
    counter_kind,
    gauge_kind,
    histogram_kind
};

constexpr std::string_view kind_names[] = {"counter", "gauge", "histogram"};

[[maybe_unused]] bool is_valid_name(std::string_view name)
{
    constexpr std::string_view first_characters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_";
    if (name.empty() ||
        first_characters.find(name.front()) == std::string_view::npos)
        return false;
    return name.find_first_not_of(
               std::string(first_characters) + "0123456789") ==
           std::string_view::npos;
}

// Escapes as the text format requires: quotes only in label values.
std::string escape(std::string_view text, bool is_quoted)
{
    std::string escaped_text;
    for (char character : text)
    {
        if (character == '\\')
            escaped_text += "\\\\";
        else if (character == '\n')
            escaped_text += "\\n";
        else if (character == '"' && is_quoted)
            escaped_text += "\\\"";
        else
            escaped_text += character;
    }
    return escaped_text;
}

std::string format_labels(const metric_labels& labels)
{
    std::string label_text;
    for (const auto& [name, value] : labels)
    {
        assert(is_valid_name(name));
        if (!label_text.empty())
            label_text += ',';
        label_text += name + "=\"" + escape(value, true) + '"';
    }
    return label_text;
}

std::string format_number(double value)
{
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    if (std::isnan(value))
        return "NaN";
    char buf[32];
    auto end = std::to_chars(buf, buf + sizeof(buf), value).ptr;
    return {buf, end};
}

// Bounds are computed from logarithms; six digits hide the rounding errors.
std::string format_bound(double value)
{
    if (std::isinf(value))
        return "+Inf";
    char buf[32];
    auto end = std::to_chars(
                   buf, buf + sizeof(buf), value, std::chars_format::general, 6)
                   .ptr;
    return {buf, end};
}

void add_sample(
    std::string& output,
    std::string_view name,
    std::string_view labels,
    std::string_view value)
{
    output += name;
    if (!labels.empty())
        output.append("{").append(labels).append("}");
    output.append(" ").append(value).append("\n");
}

void add_histogram(
    std::string& output,
    const std::string& name,
    const std::string& labels,
    const latency_histogram& histogram)
{
    auto buckets = histogram.buckets();
    auto prefix = labels.empty() ? labels : labels + ',';
    for (const auto& it : buckets)
        add_sample(
            output, name + "_bucket",
            prefix + "le=\"" + format_bound(it.upper_bound_us) + '"',
            std::to_string(it.count));
    add_sample(
        output, name + "_sum", labels, std::to_string(histogram.sum_us()));
    add_sample(
        output, name + "_count", labels, std::to_string(buckets.back().count));
}

} // namespace

struct metrics_registry::family
{
    int kind = counter_kind;
    std::string help;
    std::map<std::string, std::unique_ptr<counter>> counters;
    std::map<std::string, std::unique_ptr<gauge>> gauges;
    std::map<std::string, std::unique_ptr<latency_histogram>> histograms;
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

metrics_registry::family& metrics_registry::family_of(
    std::string_view name, std::string_view help, int kind)
{
    assert(is_valid_name(name));
    auto match = families_.find(name);
    if (match == families_.end())
    {
        match = families_.emplace(std::string(name), std::make_unique<family>())
                    .first;
        match->second->kind = kind;
        match->second->help = help;
    }
    assert(match->second->kind == kind);
    return *match->second;
}

counter& metrics_registry::counter_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    assert(name.ends_with("_total"));
    std::lock_guard lock(mutex_);
    auto& metric =
        family_of(name, help, counter_kind).counters[format_labels(labels)];
    if (!metric)
        metric = std::make_unique<counter>();
    return *metric;
}

gauge& metrics_registry::gauge_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    std::lock_guard lock(mutex_);
    auto& metric =
        family_of(name, help, gauge_kind).gauges[format_labels(labels)];
    if (!metric)
        metric = std::make_unique<gauge>();
    return *metric;
}

latency_histogram& metrics_registry::histogram_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    assert(name.ends_with("_microseconds"));
    std::lock_guard lock(mutex_);
    auto& metric =
        family_of(name, help, histogram_kind).histograms[format_labels(labels)];
    if (!metric)
        metric = std::make_unique<latency_histogram>();
    return *metric;
}

std::string metrics_registry::text() const
{
    std::lock_guard lock(mutex_);
    std::string output;
    for (const auto& [name, metric_family] : families_)
    {
        output +=
            "# HELP " + name + ' ' + escape(metric_family->help, false) + '\n';
        output += "# TYPE " + name + ' ';
        output.append(kind_names[metric_family->kind]).append("\n");
        for (const auto& [labels, value] : metric_family->counters)
            add_sample(output, name, labels, std::to_string(value->value()));
        for (const auto& [labels, value] : metric_family->gauges)
            add_sample(output, name, labels, format_number(value->value()));
        for (const auto& [labels, value] : metric_family->histograms)
            add_histogram(output, name, labels, *value);
    }
    return output;
}

} // namespace turmericlane
