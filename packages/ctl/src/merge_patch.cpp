#include "gypsumstep/ctl/merge_patch.h"

namespace gypsumstep::ctl {

nlohmann::json merge_difference(const nlohmann::json& from, const nlohmann::json& to)
{
    if (!from.is_object() || !to.is_object()) {
        return to;
    }
    nlohmann::json patch = nlohmann::json::object();
    for (const auto& [key, value] : from.items()) {
        if (!to.contains(key)) {
            patch[key] = nullptr;
        }
    }
    for (const auto& [key, value] : to.items()) {
        const auto before = from.find(key);
        if (before == from.end()) {
            patch[key] = value;
        }
        else if (*before != value) {
            patch[key] = merge_difference(*before, value);
        }
    }
    return patch;
}

} // namespace gypsumstep::ctl
