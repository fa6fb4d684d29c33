#include "gypsumstep/session/statement_class.h"

#include <charconv>

namespace gypsumstep::session {
namespace {

constexpr std::int64_t max_milliseconds = 86'400'000;
constexpr std::size_t max_request_key_bytes = 200;

error invalid(std::string_view name, std::string_view expected)
{
    return {error_code::invalid_argument,
            "gypsumstep." + std::string{name} + " must be " + std::string{expected}};
}

result<duration> parse_milliseconds(std::string_view name, std::string_view value)
{
    std::int64_t count = 0;
    const char* end = value.data() + value.size();
    const auto [stop, status] = std::from_chars(value.data(), end, count);
    if (status != std::errc{} || stop != end || count < 0 || count > max_milliseconds) {
        return invalid(name, "a whole number of milliseconds, at most 86400000");
    }
    return duration{std::chrono::milliseconds{count}};
}

result<void> apply_duration(std::optional<duration>& target, std::string_view name,
                            std::string_view value)
{
    if (value.empty()) {
        target.reset();
        return boost::outcome_v2::success();
    }
    auto parsed = parse_milliseconds(name, value);
    if (parsed.has_error()) {
        return parsed.error();
    }
    target = parsed.value();
    return boost::outcome_v2::success();
}

result<void> apply_rank(rank& target, std::string_view value)
{
    if (value == "urgent") {
        target = rank::urgent;
    }
    else if (value == "next") {
        target = rank::next;
    }
    else if (value == "last") {
        target = rank::last;
    }
    else {
        return invalid("rank", "urgent, next or last");
    }
    return boost::outcome_v2::success();
}

result<void> apply_mode(access_mode& target, std::string_view value)
{
    if (value != "read" && value != "write") {
        return invalid("mode", "read or write");
    }
    target = value == "read" ? access_mode::read : access_mode::write;
    return boost::outcome_v2::success();
}

result<void> apply_idempotent(bool& target, std::string_view value)
{
    const bool yes = value == "on" || value == "true" || value == "1";
    const bool no = value == "off" || value == "false" || value == "0";
    if (!yes && !no) {
        return invalid("idempotent", "on or off");
    }
    target = yes;
    return boost::outcome_v2::success();
}

result<void> apply_token(token& target, std::string_view value)
{
    auto parsed = token::parse(value);
    if (parsed.has_error()) {
        return parsed.error();
    }
    target = std::move(parsed).value();
    return boost::outcome_v2::success();
}

std::string show_duration(const std::optional<duration>& value)
{
    return value ? std::to_string(std::chrono::floor<std::chrono::milliseconds>(*value).count())
                 : std::string{};
}

const char* show_rank(rank value)
{
    constexpr std::array<const char*, rank_count> names{"urgent", "next", "last"};
    return names[index_of(value)];
}

} // namespace

result<void> apply_setting(session_settings& settings, std::string_view name,
                           std::string_view value)
{
    statement_class& declared = settings.declared;
    if (name == "rank") {
        return apply_rank(declared.priority, value);
    }
    if (name == "mode") {
        return apply_mode(declared.mode, value);
    }
    if (name == "max_age_ms") {
        return apply_duration(declared.max_age, name, value);
    }
    if (name == "deadline_ms") {
        return apply_duration(declared.deadline, name, value);
    }
    if (name == "idempotent") {
        return apply_idempotent(declared.idempotent, value);
    }
    if (name == "request_key") {
        if (value.size() > max_request_key_bytes) {
            return invalid(name, "at most 200 bytes long");
        }
        declared.request_key = value;
        return boost::outcome_v2::success();
    }
    if (name == "session") {
        return apply_token(settings.session_token, value);
    }
    return error{error_code::invalid_argument, "unknown setting gypsumstep." + std::string{name}};
}

result<std::string> show_setting(const session_settings& settings, std::string_view name)
{
    const statement_class& declared = settings.declared;
    if (name == "rank") {
        return std::string{show_rank(declared.priority)};
    }
    if (name == "mode") {
        return std::string{declared.mode == access_mode::read ? "read" : "write"};
    }
    if (name == "max_age_ms") {
        return show_duration(declared.max_age);
    }
    if (name == "deadline_ms") {
        return show_duration(declared.deadline);
    }
    if (name == "idempotent") {
        return std::string{declared.idempotent ? "on" : "off"};
    }
    if (name == "request_key") {
        return declared.request_key;
    }
    if (name == "session") {
        return settings.session_token.text();
    }
    return error{error_code::not_found, "unknown setting gypsumstep." + std::string{name}};
}

} // namespace gypsumstep::session
