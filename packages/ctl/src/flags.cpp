#include "flags.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <optional>

namespace gypsumstep::ctl {

namespace {

error usage_error(std::string message)
{
    return {error_code::invalid_argument, std::move(message)};
}

/// A word "--name" or "--name=value" taken apart.
struct flag_word {
    std::string name;
    std::optional<std::string> value;
};

flag_word split(const std::string& word)
{
    const auto equals = word.find('=');
    flag_word parts;
    parts.name = word.substr(2, equals == std::string::npos ? equals : equals - 2);
    std::ranges::replace(parts.name, '-', '_');
    if (equals != std::string::npos) {
        parts.value = word.substr(equals + 1);
    }
    return parts;
}

} // namespace

result<std::vector<std::string>> parse_flags(const std::vector<std::string>& words)
{
    std::vector<std::string> others;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "--") {
            others.insert(others.end(), words.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                          words.end());
            break;
        }
        if (!words[i].starts_with("--")) {
            others.push_back(words[i]);
            continue;
        }
        flag_word parts = split(words[i]);
        auto* flag = absl::FindCommandLineFlag(parts.name);
        if (flag == nullptr) {
            return usage_error("unknown flag " + words[i] + "; see gypsumstepctl --help");
        }
        if (!parts.value && flag->IsOfType<bool>()) {
            parts.value = "true";
        }
        if (!parts.value && i + 1 < words.size()) {
            parts.value = words[++i];
        }
        std::string problem;
        if (!parts.value || !flag->ParseFrom(*parts.value, &problem)) {
            return usage_error("bad value of --" + parts.name + " " + problem);
        }
    }
    return others;
}

} // namespace gypsumstep::ctl
