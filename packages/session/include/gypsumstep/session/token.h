/// \file
/// The session token: what a session has seen, carried by the caller.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/position.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::session {

/// The newest log position seen by a session in each group.
///
/// The text form is "GROUP=TERM/INDEX" joined by ";", at most max_token_bytes
/// long. It is a plain value: any daemon can continue a session from it.
class token {
public:
    /// Longest text form that is accepted.
    static constexpr std::size_t max_token_bytes = 4096;

    /// Reads the text form.
    /// \return error_code::invalid_argument for a malformed or oversized text
    [[nodiscard]] static result<token> parse(std::string_view text);

    /// The text form.
    [[nodiscard]] std::string text() const;

    /// What the session has seen of \p group; nothing if it never used the group.
    [[nodiscard]] std::optional<log_position> position_in(std::string_view group) const;

    /// Records \p position as seen; never moves back.
    /// \return true if the token changed
    bool advance(std::string_view group, log_position position);

    friend bool operator==(const token&, const token&) = default;

private:
    std::map<std::string, log_position, std::less<>> m_seen;
};

} // namespace gypsumstep::session
