#include "gypsumstep/metrics/registry.h"

#include "exposition.h"

#include <cassert>

namespace gypsumstep::metrics {

template <class T>
T& registry::make(const std::string& name, const std::string& help, const labels& metric_labels)
{
    const std::scoped_lock lock{m_mutex};
    family& metric_family = m_families[name];
    if (metric_family.help.empty()) {
        metric_family.help = help;
    }
    const auto [position, is_new] =
        metric_family.members.try_emplace(metric_labels, std::make_unique<T>());
    assert(metric_family.members.begin()->second.index() == position->second.index());
    return *std::get<std::unique_ptr<T>>(position->second);
}

counter& registry::make_counter(const std::string& name, const std::string& help,
                                const labels& metric_labels)
{
    return make<counter>(name, help, metric_labels);
}

gauge& registry::make_gauge(const std::string& name, const std::string& help,
                            const labels& metric_labels)
{
    return make<gauge>(name, help, metric_labels);
}

summary& registry::make_summary(const std::string& name, const std::string& help,
                                const labels& metric_labels)
{
    return make<summary>(name, help, metric_labels);
}

histogram& registry::make_histogram(const std::string& name, const std::string& help,
                                    const labels& metric_labels)
{
    return make<histogram>(name, help, metric_labels);
}

std::string registry::expose(time_point now) const
{
    const std::scoped_lock lock{m_mutex};
    detail::exposition_writer writer;
    for (const auto& [name, metric_family] : m_families) {
        const auto& first = metric_family.members.begin()->second;
        static constexpr std::array<const char*, 4> types{"counter", "gauge", "summary",
                                                          "histogram"};
        writer.begin_family(name, metric_family.help, types.at(first.index()));
        for (const auto& [metric_labels, member] : metric_family.members) {
            if (const auto* as_counter = std::get_if<std::unique_ptr<counter>>(&member)) {
                writer.sample(name, metric_labels, (*as_counter)->value());
            }
            else if (const auto* as_gauge = std::get_if<std::unique_ptr<gauge>>(&member)) {
                writer.sample(name, metric_labels, (*as_gauge)->value());
            }
            else if (const auto* as_summary = std::get_if<std::unique_ptr<summary>>(&member)) {
                writer.summary_samples(name, metric_labels, (*as_summary)->values(now));
            }
            else {
                writer.histogram_samples(name, metric_labels,
                                         *std::get<std::unique_ptr<histogram>>(member));
            }
        }
    }
    return writer.take();
}

} // namespace gypsumstep::metrics
