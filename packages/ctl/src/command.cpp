#include "gypsumstep/ctl/command.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace gypsumstep::ctl {

namespace {

using words = std::vector<std::string>;

error usage_error(std::string message)
{
    return {error_code::invalid_argument, std::move(message)};
}

std::optional<std::uint64_t> parse_version(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data(), end, value);
    const bool is_whole = failure == std::errc{} && stopped == end;
    return is_whole ? std::optional{value} : std::nullopt;
}

result<std::uint64_t> require_version(const std::string& text)
{
    if (const auto version = parse_version(text)) {
        return *version;
    }
    return usage_error("\"" + text + "\" is not a configuration version");
}

result<void> require_count(const words& given, std::size_t count, const char* form)
{
    if (given.size() == count) {
        return boost::outcome_v2::success();
    }
    return usage_error(std::string{"expected: "} + form);
}

result<command> parse_patch(const words& given, const command_options& options)
{
    BOOST_OUTCOME_TRYV(require_count(given, 3, "config patch --base=VERSION --reason=TEXT FILE"));
    if (!options.base) {
        return usage_error("config patch needs --base=VERSION, the version that you read "
                           "before you wrote the patch (see: config show)");
    }
    if (options.reason.empty()) {
        return usage_error("config patch needs --reason=TEXT, which is kept in the history");
    }
    return command{
        patch_config{*options.base, given[2], options.author, options.reason, options.id}};
}

result<command> parse_rollback(const words& given, const command_options& options)
{
    BOOST_OUTCOME_TRYV(require_count(given, 3, "config rollback VERSION"));
    BOOST_OUTCOME_TRY(const auto version, require_version(given[2]));
    const std::string reason =
        options.reason.empty() ? "rollback to version " + given[2] : options.reason;
    return command{rollback_config{version, options.author, reason, options.id}};
}

result<command> parse_config(const words& given, const command_options& options)
{
    const std::string verb = given.size() > 1 ? given[1] : "";
    if (verb == "show" && given.size() == 3) {
        BOOST_OUTCOME_TRY(const auto version, require_version(given[2]));
        return command{show_config{version}};
    }
    if (verb == "show") {
        BOOST_OUTCOME_TRYV(require_count(given, 2, "config show [VERSION]"));
        return command{show_config{}};
    }
    if (verb == "history") {
        BOOST_OUTCOME_TRYV(require_count(given, 2, "config history"));
        return command{show_history{}};
    }
    if (verb == "diff") {
        BOOST_OUTCOME_TRYV(require_count(given, 4, "config diff FROM TO"));
        BOOST_OUTCOME_TRY(const auto from, require_version(given[2]));
        BOOST_OUTCOME_TRY(const auto to, require_version(given[3]));
        return command{diff_config{from, to}};
    }
    if (verb == "patch") {
        return parse_patch(given, options);
    }
    if (verb == "rollback") {
        return parse_rollback(given, options);
    }
    return usage_error("expected: config show|history|diff|patch|rollback");
}

result<command> parse_log_level(const words& given)
{
    BOOST_OUTCOME_TRYV(require_count(given, 2, "log-level trace|debug|info|warn|error"));
    static constexpr std::array<std::string_view, 5> levels{"trace", "debug", "info", "warn",
                                                            "error"};
    if (std::ranges::find(levels, given[1]) == levels.end()) {
        return usage_error("\"" + given[1] + "\" is not one of trace, debug, info, warn, error");
    }
    return command{set_log_level{given[1]}};
}

} // namespace

result<command> parse_command(const words& given, const command_options& options)
{
    const std::string verb = given.empty() ? "" : given[0];
    if (verb.empty() || verb == "help") {
        return command{show_help{}};
    }
    if (verb == "status") {
        BOOST_OUTCOME_TRYV(require_count(given, 1, "status"));
        return command{show_status{}};
    }
    if (verb == "report") {
        BOOST_OUTCOME_TRYV(require_count(given, 1, "report"));
        return command{show_report{}};
    }
    if (verb == "config") {
        return parse_config(given, options);
    }
    if (verb == "promote") {
        BOOST_OUTCOME_TRYV(require_count(given, 3, "promote GROUP SERVER"));
        return command{promote_server{given[1], given[2]}};
    }
    if (verb == "drain") {
        BOOST_OUTCOME_TRYV(require_count(given, 2, "drain SERVER|DAEMON"));
        return command{drain{given[1]}};
    }
    if (verb == "freeze" || verb == "release") {
        BOOST_OUTCOME_TRYV(require_count(given, 2, (verb + " GROUP").c_str()));
        return command{freeze_group{given[1], verb == "freeze"}};
    }
    if (verb == "log-level") {
        return parse_log_level(given);
    }
    return usage_error("unknown command \"" + verb + "\"; see gypsumstepctl --help");
}

} // namespace gypsumstep::ctl
