/// \file
/// Recognises the statements that the proxy answers itself.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumstep::session {

/// A parsed "SET gypsumstep.NAME = 'VALUE'" or "SHOW gypsumstep.NAME".
struct setting_statement {
    enum class action {
        set,
        show,
    };

    action kind{action::set};
    std::string name; ///< without the prefix
    std::string value;

    friend bool operator==(const setting_statement&, const setting_statement&) = default;
};

/// Parses a SET or SHOW statement of a proxy setting.
/// \return nothing if \p sql is not exactly one such statement
[[nodiscard]] std::optional<setting_statement> parse_setting_statement(std::string_view sql);

/// Extracts the names and values of the proxy's settings from a startup "options" parameter
/// ("-c gypsumstep.mode=read -c gypsumstep.rank=urgent"); names without the prefix.
/// A backslash escapes the next character, as in libpq.
[[nodiscard]] std::vector<std::pair<std::string, std::string>>
parse_startup_options(std::string_view options);

} // namespace gypsumstep::session
