/// \file
/// Registers metrics by name and writes them in the text format of Prometheus.
#pragma once

#include "gypsumstep/metrics/metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace gypsumstep::metrics {

/// Names and values of labels, which distinguish the metrics of one family.
using labels = std::map<std::string, std::string>;

/// Owns metrics for the life of the program. All functions may be called from any thread;
/// the metrics that they return are used without the registry's lock.
class registry {
public:
    /// The counter of this name and these labels, created at the first call. The name must
    /// match [a-zA-Z_:][a-zA-Z0-9_:]* and always be used with the same kind of metric.
    counter& make_counter(const std::string& name, const std::string& help,
                          const labels& metric_labels = {});

    /// The gauge of this name and these labels, created at the first call.
    gauge& make_gauge(const std::string& name, const std::string& help,
                      const labels& metric_labels = {});

    /// The summary of this name and these labels, created at the first call. It is written in
    /// seconds, so its name should end in "_seconds".
    summary& make_summary(const std::string& name, const std::string& help,
                          const labels& metric_labels = {});

    /// The histogram of this name and these labels, created at the first call. It is written in
    /// seconds, so its name should end in "_seconds".
    histogram& make_histogram(const std::string& name, const std::string& help,
                              const labels& metric_labels = {});

    /// All metrics as text, sorted by name and labels.
    [[nodiscard]] std::string expose(time_point now) const;

private:
    using metric = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                                std::unique_ptr<summary>, std::unique_ptr<histogram>>;

    struct family {
        std::string help;
        std::map<labels, metric> members;
    };

    template <class T>
    T& make(const std::string& name, const std::string& help, const labels& metric_labels);

    mutable std::mutex m_mutex;
    std::map<std::string, family> m_families;
};

/// The content type that scrapers expect for expose().
inline constexpr std::string_view exposition_content_type{"text/plain; version=0.0.4"};

} // namespace gypsumstep::metrics
