/// \file
/// What a client declares about its statements.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/session/token.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::session {

/// Whether a statement may change data.
enum class access_mode {
    read,
    write,
};

/// The class of a statement. The client declares it; it is never derived from the SQL text. A
/// statement without a declared class is a write, not idempotent and of the lowest rank.
struct statement_class {
    access_mode mode{access_mode::write};
    rank priority{rank::last};
    std::optional<duration> max_age;  ///< maximum age of the data that a read may see
    std::string request_key;          ///< identifies one write across retries; empty if none
    bool idempotent{false};           ///< running it twice does no harm
    std::optional<duration> deadline; ///< maximum time that the client waits

    friend bool operator==(const statement_class&, const statement_class&) = default;
};

/// Settings of one session: the class declared for its next statements, and its token.
struct session_settings {
    statement_class declared;
    token session_token;

    friend bool operator==(const session_settings&, const session_settings&) = default;
};

/// Prefix of every setting that belongs to the proxy.
inline constexpr std::string_view setting_prefix = "gypsumstep.";

/// Applies one setting by its name without the prefix: rank, mode, max_age_ms,
/// request_key, idempotent, deadline_ms or session.
/// \return error_code::invalid_argument for an unknown name or a value out of range
[[nodiscard]] result<void> apply_setting(session_settings& settings, std::string_view name,
                                         std::string_view value);

/// Returns the value of a setting as text; \p name is without the prefix.
/// \return error_code::not_found for an unknown name
[[nodiscard]] result<std::string> show_setting(const session_settings& settings,
                                               std::string_view name);

} // namespace gypsumstep::session
