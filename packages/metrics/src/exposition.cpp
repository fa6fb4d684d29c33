#include "exposition.h"

#include <array>
#include <charconv>

namespace gypsumstep::metrics::detail {

namespace {

constexpr double microseconds_per_second = 1e6;

/// The shortest text that reads back as \p value, whatever the locale.
std::string number_text(double value)
{
    constexpr std::size_t longest_double = 32;
    std::array<char, longest_double> buffer{};
    const auto end = std::to_chars(buffer.begin(), buffer.end(), value).ptr;
    return {buffer.begin(), end};
}

std::string seconds_text(duration value)
{
    return number_text(static_cast<double>(value.count()) / microseconds_per_second);
}

std::string escape(std::string_view text, bool escape_quotes)
{
    std::string result;
    for (const char letter : text) {
        if (letter == '\n') {
            result += "\\n";
            continue;
        }
        if (letter == '\\' || (escape_quotes && letter == '"')) {
            result += '\\';
        }
        result += letter;
    }
    return result;
}

} // namespace

void exposition_writer::begin_family(const std::string& name, const std::string& help,
                                     const char* type)
{
    m_text += "# HELP " + name + " " + escape(help, false) + "\n";
    m_text += "# TYPE " + name + " " + type + "\n";
}

void exposition_writer::sample(const std::string& name, const labels& metric_labels,
                               std::uint64_t value)
{
    append_line(name, metric_labels, std::to_string(value));
}

void exposition_writer::sample(const std::string& name, const labels& metric_labels, double value)
{
    append_line(name, metric_labels, number_text(value));
}

void exposition_writer::summary_samples(const std::string& name, const labels& metric_labels,
                                        const summary_values& values)
{
    for (std::size_t i = 0; i < summary_quantiles.size(); ++i) {
        labels extended = metric_labels;
        extended["quantile"] = number_text(summary_quantiles.at(i));
        append_line(name, extended,
                    values.quantiles ? seconds_text(values.quantiles->at(i)) : "NaN");
    }
    append_line(name + "_sum", metric_labels, seconds_text(values.sum));
    append_line(name + "_count", metric_labels, std::to_string(values.count));
}

void exposition_writer::histogram_samples(const std::string& name, const labels& metric_labels,
                                          const histogram& values)
{
    const auto counts = values.cumulative();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        labels extended = metric_labels;
        extended["le"] =
            i < histogram_bounds.size() ? seconds_text(histogram_bounds.at(i)) : "+Inf";
        append_line(name + "_bucket", extended, std::to_string(counts.at(i)));
    }
    append_line(name + "_sum", metric_labels, seconds_text(values.sum()));
    append_line(name + "_count", metric_labels, std::to_string(counts.back()));
}

void exposition_writer::append_line(const std::string& name, const labels& metric_labels,
                                    const std::string& value)
{
    m_text += name;
    const char* separator = "{";
    for (const auto& [key, text] : metric_labels) {
        m_text += separator + key + "=\"" + escape(text, true) + "\"";
        separator = ",";
    }
    m_text += metric_labels.empty() ? " " : "} ";
    m_text += value + "\n";
}

} // namespace gypsumstep::metrics::detail
