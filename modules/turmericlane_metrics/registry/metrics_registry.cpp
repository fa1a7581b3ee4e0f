#include "metrics_registry.h"

#include <cassert>
#include <charconv>
#include <cmath>

namespace turmericlane
{

namespace
{

enum kind
{
    counter_kind,
    gauge_kind,
    histogram_kind
};

constexpr std::string_view kind_names[] = {"counter", "gauge", "histogram"};

[[maybe_unused]] bool is_valid_name(std::string_view name)
{
    constexpr std::string_view first =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_";
    if (name.empty() || first.find(name.front()) == std::string_view::npos)
        return false;
    return name.find_first_not_of(std::string(first) + "0123456789") ==
           std::string_view::npos;
}

// Escapes as the text format demands: the quote in label values only.
std::string escape(std::string_view text, bool quoted)
{
    std::string made;
    for (char it : text)
    {
        if (it == '\\')
            made += "\\\\";
        else if (it == '\n')
            made += "\\n";
        else if (it == '"' && quoted)
            made += "\\\"";
        else
            made += it;
    }
    return made;
}

std::string format_labels(const metric_labels& labels)
{
    std::string made;
    for (const auto& [name, value] : labels)
    {
        assert(is_valid_name(name));
        if (!made.empty())
            made += ',';
        made += name + "=\"" + escape(value, true) + '"';
    }
    return made;
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

// Bounds are computed from logarithms; six digits hide the rounding.
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
    std::string& to,
    std::string_view name,
    std::string_view labels,
    std::string_view value)
{
    to += name;
    if (!labels.empty())
        to.append("{").append(labels).append("}");
    to.append(" ").append(value).append("\n");
}

void add_histogram(
    std::string& to,
    const std::string& name,
    const std::string& labels,
    const latency_histogram& from)
{
    auto buckets = from.buckets();
    auto prefix = labels.empty() ? labels : labels + ',';
    for (const auto& it : buckets)
        add_sample(
            to, name + "_bucket",
            prefix + "le=\"" + format_bound(it.up_to_us) + '"',
            std::to_string(it.count));
    add_sample(to, name + "_sum", labels, std::to_string(from.sum_us()));
    add_sample(
        to, name + "_count", labels, std::to_string(buckets.back().count));
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
    auto found = families_.find(name);
    if (found == families_.end())
    {
        found = families_.emplace(std::string(name), std::make_unique<family>())
                    .first;
        found->second->kind = kind;
        found->second->help = help;
    }
    assert(found->second->kind == kind);
    return *found->second;
}

counter& metrics_registry::counter_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    assert(name.ends_with("_total"));
    std::lock_guard lock(mutex_);
    auto& made =
        family_of(name, help, counter_kind).counters[format_labels(labels)];
    if (!made)
        made = std::make_unique<counter>();
    return *made;
}

gauge& metrics_registry::gauge_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    std::lock_guard lock(mutex_);
    auto& made =
        family_of(name, help, gauge_kind).gauges[format_labels(labels)];
    if (!made)
        made = std::make_unique<gauge>();
    return *made;
}

latency_histogram& metrics_registry::histogram_of(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    assert(name.ends_with("_microseconds"));
    std::lock_guard lock(mutex_);
    auto& made =
        family_of(name, help, histogram_kind).histograms[format_labels(labels)];
    if (!made)
        made = std::make_unique<latency_histogram>();
    return *made;
}

std::string metrics_registry::text() const
{
    std::lock_guard lock(mutex_);
    std::string made;
    for (const auto& [name, it] : families_)
    {
        made += "# HELP " + name + ' ' + escape(it->help, false) + '\n';
        made += "# TYPE " + name + ' ';
        made.append(kind_names[it->kind]).append("\n");
        for (const auto& [labels, value] : it->counters)
            add_sample(made, name, labels, std::to_string(value->value()));
        for (const auto& [labels, value] : it->gauges)
            add_sample(made, name, labels, format_number(value->value()));
        for (const auto& [labels, value] : it->histograms)
            add_histogram(made, name, labels, *value);
    }
    return made;
}

} // namespace turmericlane
