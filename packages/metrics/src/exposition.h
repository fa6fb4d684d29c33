/// \file
/// Writes samples in version 0.0.4 of Prometheus' text format.
#pragma once

#include "gypsumstep/metrics/registry.h"

namespace gypsumstep::metrics::detail {

/// Appends families and their samples to a text.
class exposition_writer {
public:
    void begin_family(const std::string& name, const std::string& help, const char* type);
    void sample(const std::string& name, const labels& metric_labels, std::uint64_t value);
    void sample(const std::string& name, const labels& metric_labels, double value);
    void summary_samples(const std::string& name, const labels& metric_labels,
                         const summary_values& values);

    void histogram_samples(const std::string& name, const labels& metric_labels,
                           const histogram& values);

    /// Moves out the text that was written so far.
    [[nodiscard]] std::string take() { return std::move(m_text); }

private:
    void append_line(const std::string& name, const labels& metric_labels,
                     const std::string& value);

    std::string m_text;
};

} // namespace gypsumstep::metrics::detail
