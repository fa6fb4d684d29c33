#include "gypsumstep/metrics/registry.h"

#include "exposition.h"

#include <cassert>

namespace gypsumstep::metrics {

template <class T>
T& registry::make(const std::string& name, const std::string& help, const labels& with)
{
    const std::scoped_lock lock{m_mutex};
    family& owner = m_families[name];
    if (owner.help.empty()) {
        owner.help = help;
    }
    const auto [position, is_new] = owner.members.try_emplace(with, std::make_unique<T>());
    assert(owner.members.begin()->second.index() == position->second.index());
    return *std::get<std::unique_ptr<T>>(position->second);
}

counter& registry::make_counter(const std::string& name, const std::string& help,
                                const labels& with)
{
    return make<counter>(name, help, with);
}

gauge& registry::make_gauge(const std::string& name, const std::string& help, const labels& with)
{
    return make<gauge>(name, help, with);
}

summary& registry::make_summary(const std::string& name, const std::string& help,
                                const labels& with)
{
    return make<summary>(name, help, with);
}

histogram& registry::make_histogram(const std::string& name, const std::string& help,
                                    const labels& with)
{
    return make<histogram>(name, help, with);
}

std::string registry::expose(time_point now) const
{
    const std::scoped_lock lock{m_mutex};
    detail::exposition_writer writer;
    for (const auto& [name, one] : m_families) {
        const auto& first = one.members.begin()->second;
        static constexpr std::array<const char*, 4> types{"counter", "gauge", "summary",
                                                          "histogram"};
        writer.begin_family(name, one.help, types.at(first.index()));
        for (const auto& [with, member] : one.members) {
            if (const auto* as_counter = std::get_if<std::unique_ptr<counter>>(&member)) {
                writer.sample(name, with, (*as_counter)->value());
            }
            else if (const auto* as_gauge = std::get_if<std::unique_ptr<gauge>>(&member)) {
                writer.sample(name, with, (*as_gauge)->value());
            }
            else if (const auto* as_summary = std::get_if<std::unique_ptr<summary>>(&member)) {
                writer.summary_samples(name, with, (*as_summary)->values(now));
            }
            else {
                writer.histogram_samples(name, with, *std::get<std::unique_ptr<histogram>>(member));
            }
        }
    }
    return writer.take();
}

} // namespace gypsumstep::metrics
