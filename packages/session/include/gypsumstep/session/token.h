/// \file
/// The session token: the log positions that a session has seen, kept by the client.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/position.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumstep::session {

/// The newest log position that a session has seen in each group.
///
/// The text form has an entry "GROUP=TERM/INDEX" for each group, separated by ";", and is at most
/// max_token_bytes long. The token is self-contained: any daemon can continue a session from it.
class token {
public:
    /// Maximum length of an accepted text form.
    static constexpr std::size_t max_token_bytes = 4096;

    /// Parses the text form.
    /// \return error_code::invalid_argument for a malformed or oversized text
    [[nodiscard]] static result<token> parse(std::string_view text);

    /// Returns the text form.
    [[nodiscard]] std::string text() const;

    /// The newest position that the session has seen in \p group; empty if it never used the group.
    [[nodiscard]] std::optional<log_position> position_in(std::string_view group) const;

    /// Records \p position as seen in \p group. An older position is ignored.
    /// \return true if the token changed
    bool advance(std::string_view group, log_position position);

    friend bool operator==(const token&, const token&) = default;

private:
    std::map<std::string, log_position, std::less<>> m_seen;
};

} // namespace gypsumstep::session
