#include "gypsumstep/session/token.h"

namespace gypsumstep::session {
namespace {

constexpr char entry_separator = ';';

error malformed(std::string_view part)
{
    return {error_code::invalid_argument,
            "malformed session token at \"" + std::string{part} + "\""};
}

} // namespace

result<token> token::parse(std::string_view text)
{
    if (text.size() > max_token_bytes) {
        return error{error_code::invalid_argument, "session token is too long"};
    }
    token parsed;
    while (!text.empty()) {
        const auto end = text.find(entry_separator);
        const std::string_view entry = text.substr(0, end);
        const auto equals = entry.find('=');
        if (equals == 0 || equals == std::string_view::npos) {
            return malformed(entry);
        }
        const auto position = parse_position(entry.substr(equals + 1));
        if (!position) {
            return malformed(entry);
        }
        parsed.advance(entry.substr(0, equals), *position);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parsed;
}

std::string token::text() const
{
    std::string text;
    for (const auto& [group, position] : m_seen) {
        if (!text.empty()) {
            text.push_back(entry_separator);
        }
        text += group + "=" + to_string(position);
    }
    return text;
}

std::optional<log_position> token::position_in(std::string_view group) const
{
    const auto found = m_seen.find(group);
    return found == m_seen.end() ? std::nullopt : std::optional{found->second};
}

bool token::advance(std::string_view group, log_position position)
{
    const auto found = m_seen.find(group);
    if (found == m_seen.end()) {
        m_seen.emplace(group, position);
        return true;
    }
    if (position <= found->second) {
        return false;
    }
    found->second = position;
    return true;
}

} // namespace gypsumstep::session
