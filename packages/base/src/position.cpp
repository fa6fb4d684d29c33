#include "gypsumstep/base/position.h"

#include <charconv>

namespace gypsumstep {
namespace {

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string to_string(const log_position& position)
{
    return std::to_string(position.entry_term.value()) + "/" + std::to_string(position.index);
}

std::optional<log_position> parse_position(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto entry_term = parse_number(text.substr(0, slash));
    const auto index = parse_number(text.substr(slash + 1));
    if (!entry_term || !index) {
        return std::nullopt;
    }
    return log_position{term{*entry_term}, *index};
}

} // namespace gypsumstep
